package batch

import (
	"fmt"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// maxRecordEntries and maxRecordBytes bound one record. A larger entry is a record of its own.
	maxRecordEntries = 500
	maxRecordBytes   = 256 << 10
	// maxBurstAppends is how many appends may follow each other without waiting for the rate.
	maxBurstAppends = 3.0
	// minBackoff is the delay after the first failure of the log. It doubles up to maxBackoff.
	minBackoff = 250 * clock.Millis(1)
	maxBackoff = 4 * clock.Second
)

// Event is an input of a Batcher.
type Event interface{ isEvent() }

// Effect is an action that the caller of Reduce must perform.
type Effect interface{ isEffect() }

// Add queues entries.
type Add struct {
	Now     clock.Millis
	Entries []Entry
}

// Drop removes entries that need not be logged any more. Entries of the batch in flight remain.
type Drop struct{ IDs []string }

// Tick reports the current time.
type Tick struct{ Now clock.Millis }

// SetRate sets the appends per second that this process may make.
type SetRate struct {
	Now  clock.Millis
	Rate float64
}

// Appended reports that a batch is on the log at an offset.
type Appended struct {
	Now    clock.Millis
	Batch  string
	Offset int64
}

// Failed reports that an append failed. If Unknown is true, the record may be on the log.
type Failed struct {
	Now     clock.Millis
	Batch   string
	Unknown bool
}

// Scanned is the result of a Scan: a page to search for a batch, or the head of the log if there is
// no search.
type Scanned struct {
	Now  clock.Millis
	Page provider.Page
	Err  error
}

// Append requests a record on the log; Appended or Failed must follow.
type Append struct {
	Batch   string
	Entries []Entry
}

// Scan requests a page of the stream from an offset on; Scanned must follow.
type Scan struct{ From int64 }

// Done reports that entries are on the log at an offset.
type Done struct {
	IDs    []string
	Offset int64
}

func (Add) isEvent()      {}
func (Drop) isEvent()     {}
func (Tick) isEvent()     {}
func (SetRate) isEvent()  {}
func (Appended) isEvent() {}
func (Failed) isEvent()   {}
func (Scanned) isEvent()  {}

func (Append) isEffect() {}
func (Scan) isEffect()   {}
func (Done) isEffect()   {}

// phase is what the batcher waits for.
type phase int

const (
	idle phase = iota
	appending
	scanning
	// backingOff waits until retryAt, with or without a batch in flight.
	backingOff
)

// unknownHead is the value of head before the first read.
const unknownHead = -1

// Batcher combines entries into records of one stream, one append at a time. It is a reducer, without
// clock or I/O, and not safe for concurrent use.
type Batcher struct {
	// prefix makes batch IDs unique across processes and their restarts.
	prefix string
	seq    uint64
	// queue has the entries that are in no batch yet, oldest first. Its length is bounded by the
	// callers, which limit the bills in their ledger and the undecided claims.
	queue []Entry
	// batchID and inFlight are the batch being appended; inFlight is empty if there is none.
	batchID  string
	inFlight []Entry
	phase    phase
	// uncertain is true while the batch in flight may be on the log after a failed append.
	uncertain bool
	// head is at most the offset that the next record had at the last read or append, so that a
	// scan from head misses no later record.
	head int64
	// scanFrom is the offset at which the search for an uncertain batch continues.
	scanFrom int64
	// rate is in appends per second. tokens is the level of the token bucket that enforces it, last
	// refilled at refilledAt.
	rate       float64
	tokens     float64
	refilledAt clock.Millis
	retryAt    clock.Millis
	// backoff is the current delay after failures; 0 while the log works.
	backoff clock.Millis
	appends int64
}

// NewBatcher returns a batcher that makes up to rate appends per second. The prefix of its batch
// IDs must be unique to this incarnation of the process.
func NewBatcher(prefix string, rate float64) *Batcher {
	return &Batcher{prefix: prefix, head: unknownHead, rate: rate, tokens: maxBurstAppends}
}

// Pending returns the number of entries that are not confirmed to be on the log.
func (b *Batcher) Pending() int { return len(b.queue) + len(b.inFlight) }

// Appends returns the number of attempted appends.
func (b *Batcher) Appends() int64 { return b.appends }

// Failing reports whether the last call to the log failed.
func (b *Batcher) Failing() bool { return b.backoff > 0 }

// Reduce applies one event and returns the effects in order.
func (b *Batcher) Reduce(ev Event) (effects []Effect) {
	switch e := ev.(type) {
	case Add:
		b.queue = append(b.queue, e.Entries...)
		return b.startNext(e.Now)
	case Drop:
		b.drop(e.IDs)
		return nil
	case Tick:
		return b.startNext(e.Now)
	case SetRate:
		b.refill(e.Now)
		b.rate = e.Rate
		return b.startNext(e.Now)
	case Appended:
		return b.appended(e)
	case Failed:
		return b.failed(e)
	case Scanned:
		return b.scanned(e)
	}
	return nil
}

func (b *Batcher) drop(ids []string) {
	dropped := make(map[string]bool, len(ids))
	for _, id := range ids {
		dropped[id] = true
	}
	b.queue = slices.DeleteFunc(b.queue, func(x Entry) bool { return dropped[x.ID] })
}

func (b *Batcher) refill(now clock.Millis) {
	b.tokens = min(maxBurstAppends, b.tokens+b.rate*float64(now-b.refilledAt)/float64(clock.Second))
	b.refilledAt = now
}

// startNext starts the next scan or append if one is due.
func (b *Batcher) startNext(now clock.Millis) (effects []Effect) {
	b.refill(now)
	if b.phase == backingOff && now >= b.retryAt {
		b.phase = idle
	}
	if b.phase != idle || b.Pending() == 0 {
		return nil
	}
	// The head is read before the first append. A batch that may be on the log is searched for from
	// the head on before it is sent again; otherwise each lost reply would put a batch on the log
	// twice.
	if b.head == unknownHead || b.uncertain {
		b.phase = scanning
		return []Effect{Scan{From: b.scanStart()}}
	}
	if b.tokens < 1 {
		return nil
	}
	b.tokens--
	b.appends++
	if len(b.inFlight) == 0 {
		b.takeBatch()
	}
	b.phase = appending
	return []Effect{Append{Batch: b.batchID, Entries: b.inFlight}}
}

func (b *Batcher) scanStart() int64 {
	if b.uncertain {
		return b.scanFrom
	}
	const beyondHead = int64(1) << 62
	return beyondHead
}

// takeBatch moves the oldest entries from the queue to the next batch.
func (b *Batcher) takeBatch() {
	n, size := 0, 0
	for n < len(b.queue) && n < maxRecordEntries {
		size += b.queue[n].size()
		if n > 0 && size > maxRecordBytes {
			break
		}
		n++
	}
	b.inFlight = slices.Clone(b.queue[:n])
	b.queue = slices.Delete(b.queue, 0, n)
	b.seq++
	b.batchID = fmt.Sprintf("%s-%d", b.prefix, b.seq)
}

func (b *Batcher) appended(e Appended) (effects []Effect) {
	if e.Batch != b.batchID || b.phase != appending {
		return nil
	}
	return b.completeBatch(e.Now, e.Offset)
}

// completeBatch finishes the batch in flight, which is on the log at the given offset.
func (b *Batcher) completeBatch(now clock.Millis, offset int64) (effects []Effect) {
	ids := make([]string, len(b.inFlight))
	for i, e := range b.inFlight {
		ids[i] = e.ID
	}
	b.head = max(b.head, offset+1)
	b.inFlight = nil
	b.uncertain = false
	b.phase = idle
	b.backoff = 0
	return append([]Effect{Done{IDs: ids, Offset: offset}}, b.startNext(now)...)
}

func (b *Batcher) failed(e Failed) (effects []Effect) {
	if e.Batch != b.batchID || b.phase != appending {
		return nil
	}
	if e.Unknown {
		b.uncertain = true
		b.scanFrom = b.head
	}
	b.scheduleRetry(e.Now)
	return nil
}

func (b *Batcher) scheduleRetry(now clock.Millis) {
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	b.retryAt = now + b.backoff
	b.phase = backingOff
}

func (b *Batcher) scanned(e Scanned) (effects []Effect) {
	if b.phase != scanning {
		return nil
	}
	if e.Err != nil {
		b.scheduleRetry(e.Now)
		return nil
	}
	b.phase = idle
	if !b.uncertain {
		b.head = e.Page.Head
		b.backoff = 0
		return b.startNext(e.Now)
	}
	for _, r := range e.Page.Records {
		b.scanFrom = r.Offset + 1
		if j, err := Decode(r.Data); err == nil && j.GetBatch() == b.batchID {
			return b.completeBatch(e.Now, r.Offset)
		}
	}
	// Records that expired before they were read are skipped. If the batch was among them it is
	// sent again, which is harmless because readers reduce by key.
	b.scanFrom = max(b.scanFrom, e.Page.First)
	if b.scanFrom >= e.Page.Head || len(e.Page.Records) == 0 {
		b.uncertain = false
		b.head = max(b.head, e.Page.Head)
	}
	return b.startNext(e.Now)
}
