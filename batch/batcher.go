package batch

import (
	"fmt"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// maxEntries and maxBytes bound one record.
	maxEntries = 500
	maxBytes   = 256 << 10
	// burst is how many appends may follow each other at once.
	burst = 3.0
	// firstBackoff doubles up to lastBackoff while the log fails.
	firstBackoff = 250 * clock.Millis(1)
	lastBackoff  = 4 * clock.Second
)

// Event is an input of a Batcher.
type Event interface{ isEvent() }

// Effect is what the shell shall do for a Batcher.
type Effect interface{ isEffect() }

// Add hands over entries.
type Add struct {
	Now     clock.Millis
	Entries []Entry
}

// Drop takes back entries that no longer need the log and are not being sent.
type Drop struct{ IDs []string }

// Tick tells the time.
type Tick struct{ Now clock.Millis }

// SetRate tells the appends a second that this process may make.
type SetRate struct {
	Now  clock.Millis
	Rate float64
}

// Appended tells that a record stands at an offset.
type Appended struct {
	Now    clock.Millis
	Batch  string
	Offset int64
}

// Failed tells that an append failed. Unknown ones may stand on the log.
type Failed struct {
	Now     clock.Millis
	Batch   string
	Unknown bool
}

// Scanned brings a page read in search of a batch, or the log's head when no
// search is on.
type Scanned struct {
	Now  clock.Millis
	Page provider.Page
	Err  error
}

// Append asks for a record on the log.
type Append struct {
	Batch   string
	Entries []Entry
}

// Scan asks for a page of the stream from an offset on.
type Scan struct{ From int64 }

// Done tells that entries stand on the log at an offset.
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

// phase says what the batcher waits for.
type phase int

const (
	idle phase = iota
	appending
	scanning
	// backingOff waits for the instant retryAt, with or without a batch.
	backingOff
)

// unknownHead stands for a head that was never read.
const unknownHead = -1

// Batcher combines entries into records of one stream, one append at a time.
type Batcher struct {
	// prefix makes batch IDs unique over processes and their restarts.
	prefix string
	seq    uint64
	// queue holds entries that are in no batch yet, oldest first. Its bound is
	// its caller's: the ledger of bills or the open claims.
	queue []Entry
	// batch and sent are the one record under way; sent is empty when there is
	// none.
	batch string
	sent  []Entry
	phase phase
	// lost is true while the batch under way may stand on the log unseen.
	lost bool
	// head is at most the offset that the next record of the stream got when
	// it was last seen, so that a search from it misses no later record.
	head    int64
	from    int64
	rate    float64
	tokens  float64
	filled  clock.Millis
	retryAt clock.Millis
	backoff clock.Millis
	appends int64
}

// NewBatcher makes a batcher whose batch IDs begin with a prefix that no other
// process start uses.
func NewBatcher(prefix string, rate float64) *Batcher {
	return &Batcher{prefix: prefix, head: unknownHead, rate: rate, tokens: burst}
}

// Pending returns how many entries are not yet known to stand on the log.
func (b *Batcher) Pending() int { return len(b.queue) + len(b.sent) }

// Appends counts the appends tried.
func (b *Batcher) Appends() int64 { return b.appends }

// Failing reports whether the log failed last.
func (b *Batcher) Failing() bool { return b.backoff > 0 }

// Reduce takes one event and returns the effects in order.
func (b *Batcher) Reduce(ev Event) (effects []Effect) {
	switch e := ev.(type) {
	case Add:
		b.queue = append(b.queue, e.Entries...)
		return b.next(e.Now)
	case Drop:
		b.drop(e.IDs)
		return nil
	case Tick:
		return b.next(e.Now)
	case SetRate:
		b.fill(e.Now)
		b.rate = e.Rate
		return b.next(e.Now)
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
	gone := make(map[string]bool, len(ids))
	for _, id := range ids {
		gone[id] = true
	}
	b.queue = slices.DeleteFunc(b.queue, func(x Entry) bool { return gone[x.ID] })
}

func (b *Batcher) fill(now clock.Millis) {
	b.tokens = min(burst, b.tokens+b.rate*float64(now-b.filled)/float64(clock.Second))
	b.filled = now
}

// next starts what can start now.
func (b *Batcher) next(now clock.Millis) (effects []Effect) {
	b.fill(now)
	if b.phase == backingOff && now >= b.retryAt {
		b.phase = idle
	}
	if b.phase != idle || b.Pending() == 0 {
		return nil
	}
	// The head is read before the first append, and a lost batch is searched
	// from there before it is sent again. Without the search a lost answer
	// would put every batch on the log twice.
	if b.head == unknownHead || b.lost {
		b.phase = scanning
		return []Effect{Scan{From: b.searchFrom()}}
	}
	if b.tokens < 1 {
		return nil
	}
	b.tokens--
	b.appends++
	if len(b.sent) == 0 {
		b.cut()
	}
	b.phase = appending
	return []Effect{Append{Batch: b.batch, Entries: b.sent}}
}

func (b *Batcher) searchFrom() int64 {
	if b.lost {
		return b.from
	}
	const beyondHead = int64(1) << 62
	return beyondHead
}

// cut takes the oldest entries as the next batch.
func (b *Batcher) cut() {
	n, size := 0, 0
	for n < len(b.queue) && n < maxEntries {
		size += b.queue[n].size()
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	b.sent = slices.Clone(b.queue[:n])
	b.queue = slices.Delete(b.queue, 0, n)
	b.seq++
	b.batch = fmt.Sprintf("%s-%d", b.prefix, b.seq)
}

func (b *Batcher) appended(e Appended) (effects []Effect) {
	if e.Batch != b.batch || b.phase != appending {
		return nil
	}
	return b.stands(e.Now, e.Offset)
}

// stands closes the batch under way, which stands at an offset.
func (b *Batcher) stands(now clock.Millis, offset int64) (effects []Effect) {
	ids := make([]string, len(b.sent))
	for i, e := range b.sent {
		ids[i] = e.ID
	}
	b.head = max(b.head, offset+1)
	b.sent = nil
	b.lost = false
	b.phase = idle
	b.backoff = 0
	return append([]Effect{Done{IDs: ids, Offset: offset}}, b.next(now)...)
}

func (b *Batcher) failed(e Failed) (effects []Effect) {
	if e.Batch != b.batch || b.phase != appending {
		return nil
	}
	if e.Unknown {
		b.lost = true
		b.from = b.head
	}
	b.wait(e.Now)
	return nil
}

func (b *Batcher) wait(now clock.Millis) {
	b.backoff = min(max(2*b.backoff, firstBackoff), lastBackoff)
	b.retryAt = now + b.backoff
	b.phase = backingOff
}

func (b *Batcher) scanned(e Scanned) (effects []Effect) {
	if b.phase != scanning {
		return nil
	}
	if e.Err != nil {
		b.wait(e.Now)
		return nil
	}
	b.phase = idle
	if !b.lost {
		b.head = e.Page.Head
		b.backoff = 0
		return b.next(e.Now)
	}
	for _, r := range e.Page.Records {
		b.from = r.Offset + 1
		if j, err := Decode(r.Data); err == nil && j.GetBatch() == b.batch {
			return b.stands(e.Now, r.Offset)
		}
	}
	// Records that expired unread count as read: the batch is not found there,
	// and sending it again is harmless to a reader that reduces by key.
	b.from = max(b.from, e.Page.First)
	if b.from >= e.Page.Head || len(e.Page.Records) == 0 {
		b.lost = false
		b.head = max(b.head, e.Page.Head)
	}
	return b.next(e.Now)
}
