package spread

import (
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

const (
	// maxTailRecords and maxTailBytes bound the records stored for peers; the oldest are dropped
	// first.
	maxTailRecords = 512
	maxTailBytes   = 1 << 20
	// maxReplyBytes bounds the records of one reply; a peer requests more with its next fetch.
	maxReplyBytes = 256 << 10
)

// Tail holds the last records of a stream, for peers that are behind. It is immutable; Add returns
// a new value. The zero value is an empty tail at offset 0.
type Tail struct {
	// from is the offset of the first record and end the offset after the last one; no record
	// between them is missing.
	from    int64
	end     int64
	records []*wire.Record
	bytes   int
	// restarts counts the calls of Restart.
	restarts int
}

// Restart returns an empty tail that starts at an offset. The process calls it after it has loaded
// a checkpoint, which includes the records before that offset.
func (t Tail) Restart(offset int64) Tail {
	return Tail{from: offset, end: offset, restarts: t.restarts + 1}
}

// Restarts returns how often the tail was restarted. When it changes, the process must read the
// log again from End, because it has read past records that could not be applied.
func (t Tail) Restarts() int { return t.restarts }

// From returns the first offset from which the tail has all records.
func (t Tail) From() int64 { return t.from }

// End returns the offset after the last record.
func (t Tail) End() int64 { return t.end }

// Add returns the tail with one more record. The oldest records are dropped if it exceeds its
// bounds.
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

// Reply returns the records from the offset from on, as many as fit into one reply. If the tail no
// longer has the record at that offset, the reply contains no records, and its From is the first
// available offset.
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
