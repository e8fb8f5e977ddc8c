package spread

import (
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// maxTailRecords and maxTailBytes bound the records kept for peers; the
	// oldest fall out.
	maxTailRecords = 512
	maxTailBytes   = 1 << 20
	// maxReplyBytes bounds the records of one reply; a peer asks again for more.
	maxReplyBytes = 256 << 10
)

// Tail holds the last records of a stream for peers that are behind. A value
// never changes; Add returns the next one.
type Tail struct {
	// from is the offset from which on the records are complete.
	from    int64
	end     int64
	records []*wire.Record
	bytes   int
	// restarts counts the checkpoints from which the tail began anew.
	restarts int
}

// Restart returns an empty tail that begins at an offset: what lay before it is
// in the checkpoint that the process has just taken.
func (t Tail) Restart(offset int64) Tail {
	return Tail{from: offset, end: offset, restarts: t.restarts + 1}
}

// Restarts counts how often the tail began anew. A reader of the log goes back
// to End when it changes: it has passed records that could not be reduced.
func (t Tail) Restarts() int { return t.restarts }

// From returns the offset from which on the records are complete.
func (t Tail) From() int64 { return t.from }

// End returns the offset after the last record.
func (t Tail) End() int64 { return t.end }

// Add returns the tail with one more record.
func (t Tail) Add(r *wire.Record) Tail {
	t.records = append(t.records[:len(t.records):len(t.records)], r)
	t.bytes += len(r.GetData())
	t.end = r.GetOffset() + 1
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes && len(t.records) > 1 {
		t.bytes -= len(t.records[0].GetData())
		t.from = t.records[0].GetOffset() + 1
		t.records = t.records[1:]
	}
	return t
}

// Reply returns the records from an offset on, as many as one reply bears. When
// they are no longer kept it returns no record, and From says from where on
// they are.
func (t Tail) Reply(from int64) *wire.RecordsReply {
	out := &wire.RecordsReply{Head: t.end, From: max(from, t.from)}
	if from < t.from {
		return out
	}
	bytes := 0
	for _, r := range t.records {
		if r.GetOffset() < from {
			continue
		}
		if bytes += len(r.GetData()); bytes > maxReplyBytes && len(out.Records) > 0 {
			break
		}
		out.Records = append(out.Records, r)
	}
	return out
}
