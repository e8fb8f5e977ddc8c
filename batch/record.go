// Package batch writes many small entries, that is bills and claims, to the platform's log with few
// appends. It decides which process appends, combines entries into records, keeps to the log's rate
// limit and finds out whether an append without a reply took effect.
package batch

import (
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("batch")

// ErrMalformed means that a record is not a valid batch.
var ErrMalformed = Errors.NewType("malformed")

// Entry is one item for the log: a bill or a claim. It is unrelated to the entry processes of
// package entry.
type Entry struct {
	// ID identifies the entry in the calls and results of Batcher and Writer. It is not part of the
	// record.
	ID    string
	Bill  *wire.Bill
	Claim *wire.Claim
}

// size returns the bytes that the entry adds to a record.
func (e Entry) size() int {
	return proto.Size(e.Bill) + proto.Size(e.Claim)
}

// Encode returns entries as one record with a batch ID. An error is of type ErrMalformed.
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

// Decode parses a record of the log. An error is of type ErrMalformed. A record without a batch ID
// is malformed too, as every Batcher sets one.
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
