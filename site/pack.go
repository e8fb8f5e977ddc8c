package site

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// News of the store goes to all entries packed, since endpoints' announcements and
// routes repeat the same words, and in as many reports as it takes. Sent as it stands, the
// news of a move to a new version was too large for a report on a site of some seventy
// endpoints, and each entry read all of the endpoints from the store.

const (
	// mostInReport is how many records of endpoints go into one report: a few kilobytes,
	// so that a lost datagram costs little.
	mostInReport = 200
	// mostPacked bounds the records in a report, in bytes: a datagram holds a little
	// more.
	mostPacked = 48 << 10
	// mostNews bounds what one piece of news takes at all entries together, in bytes: a
	// second of the link of a large VM. Larger news is only announced, and each entry
	// reads it.
	mostNews = 16 << 20
	// mostUnpacked bounds what a report's records may unpack to.
	mostUnpacked = 8 << 20
)

// pack makes the reports that carry a report's records to so many entries; one without
// any where there is too much of it.
func pack(r *wire.EntryReport, to int) (out []*wire.EntryReport, err error) {
	total := 0
	for records := r.GetRecords(); len(records) > 0; {
		n := len(records)
		if Stream(records[0].GetStream()) == EndpointStream {
			// Those of the operators' stream are of use together only.
			n = min(n, mostInReport)
		}
		packed, err := deflate(records[:n])
		if err != nil {
			return nil, err
		}
		records = records[n:]
		if total += len(packed) * to; len(packed) > mostPacked || total > mostNews {
			out = nil
			break
		}
		part := proto.CloneOf(r)
		part.Records, part.Packed = nil, packed
		out = append(out, part)
	}
	if len(out) == 0 {
		r.Records = nil
		out = []*wire.EntryReport{r}
	}
	return out, nil
}

func deflate(records []*wire.StoreRecord) (packed []byte, err error) {
	data, err := proto.Marshal(&wire.StoreRecords{Records: records})
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

// ErrUnpack marks a report whose records cannot be unpacked.
var ErrUnpack = Errors.NewType("packed")

// unpack puts a report's packed records back.
func unpack(r *wire.EntryReport) (err error) {
	if len(r.GetPacked()) == 0 {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.GetPacked())), mostUnpacked+1))
	if err != nil {
		return ErrUnpack.Wrap(err, "report of %s", r.GetName())
	}
	if len(data) > mostUnpacked {
		return ErrUnpack.New("report of %s unpacks to more than %d bytes", r.GetName(), mostUnpacked)
	}
	var records wire.StoreRecords
	if err = proto.Unmarshal(data, &records); err != nil {
		return ErrUnpack.Wrap(err, "report of %s", r.GetName())
	}
	r.Records, r.Packed = records.GetRecords(), nil
	return nil
}
