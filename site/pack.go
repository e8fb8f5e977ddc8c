package site

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// Updates from the store are sent to all entries compressed, since the registrations of endpoints
// and the routes repeat the same words, and split into as many reports as needed. Uncompressed,
// the update for an upgrade on a site of some seventy endpoints did not fit into one report, so
// that each entry read all endpoints from the store.

const (
	// maxRecordsPerReport limits the endpoint records in one report to a few kilobytes, so that a
	// lost datagram costs little.
	maxRecordsPerReport = 200
	// maxPackedBytes limits the compressed records in a report. A datagram holds slightly more.
	maxPackedBytes = 48 << 10
	// maxUpdateBytes limits the bytes of one update summed over all recipients, to about one
	// second of a large VM's link. Of a larger update only the offsets and the digest are sent,
	// and each entry reads the records itself.
	maxUpdateBytes = 16 << 20
	// maxUnpackedBytes limits the decompressed size of a report's records.
	maxUnpackedBytes = 8 << 20
)

// pack returns the reports that carry the records of r to the given number of recipients. If the
// records are too large, it returns a single report without records.
func pack(r *wire.EntryReport, recipients int) (out []*wire.EntryReport, err error) {
	total := 0
	for records := r.GetRecords(); len(records) > 0; {
		n := len(records)
		if Stream(records[0].GetStream()) == EndpointStream {
			// Records of the operators' stream can be applied only together, so they are not
			// split.
			n = min(n, maxRecordsPerReport)
		}
		packed, err := deflate(&wire.StoreRecords{Records: records[:n]})
		if err != nil {
			return nil, err
		}
		records = records[n:]
		if total += len(packed) * recipients; len(packed) > maxPackedBytes || total > maxUpdateBytes {
			out = nil
			break
		}
		chunk := proto.CloneOf(r)
		chunk.Records, chunk.Packed = nil, packed
		out = append(out, chunk)
	}
	if len(out) == 0 {
		r.Records = nil
		out = []*wire.EntryReport{r}
	}
	return out, nil
}

// deflate returns a message encoded and compressed.
func deflate(m proto.Message) (packed []byte, err error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// inflate decodes a message that deflate has packed.
func inflate(packed []byte, m proto.Message) (err error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxUnpackedBytes {
		return ErrUnpack.New("more than %d bytes", maxUnpackedBytes)
	}
	return proto.Unmarshal(data, m)
}

// ErrUnpack is returned for a report or state that cannot be unpacked.
var ErrUnpack = Errors.NewType("packed")

// unpack replaces the packed records of a report by the records themselves.
func unpack(r *wire.EntryReport) (err error) {
	if len(r.GetPacked()) == 0 {
		return nil
	}
	var records wire.StoreRecords
	if err = inflate(r.GetPacked(), &records); err != nil {
		return ErrUnpack.Wrap(err, "report of %s", r.GetName())
	}
	r.Records, r.Packed = records.GetRecords(), nil
	return nil
}
