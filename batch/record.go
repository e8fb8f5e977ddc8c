// Package batch puts many small entries on the platform's log with few
// appends: it chooses who appends, combines entries into records, keeps to the
// log's limit and finds out what became of an append whose answer was lost.
package batch

import (
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("batch")

// ErrMalformed marks a record that is none of batch.
var ErrMalformed = Errors.NewType("malformed")

// Entry is one thing to keep on the log: a bill or a claim.
type Entry struct {
	// ID names the entry towards its writer; it does not go on the log.
	ID    string
	Bill  *wire.Bill
	Claim *wire.Claim
}

// size is the entry's part of a record, in bytes.
func (e Entry) size() int {
	return proto.Size(e.Bill) + proto.Size(e.Claim)
}

// Encode writes entries as one record under a batch ID.
func Encode(batch string, entries []Entry) (data []byte, err error) {
	r := &wire.JournalRecord{Batch: batch}
	for _, e := range entries {
		if e.Bill != nil {
			r.Bills = append(r.Bills, e.Bill)
		}
		if e.Claim != nil {
			r.Claims = append(r.Claims, e.Claim)
		}
	}
	if data, err = proto.Marshal(r); err != nil {
		err = ErrMalformed.Wrap(err, "encode record %s", batch)
	}
	return data, err
}

// Decode reads a record of the log. A record without a batch ID is malformed:
// no batch wrote it.
func Decode(data []byte) (r *wire.JournalRecord, err error) {
	r = &wire.JournalRecord{}
	if err = proto.Unmarshal(data, r); err != nil {
		return nil, ErrMalformed.Wrap(err, "decode record")
	}
	if r.GetBatch() == "" {
		return nil, ErrMalformed.New("decode record: it has no batch")
	}
	return r, nil
}
