package batch

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	tickInterval = 20 * clock.Millis(1)
	// callTimeout bounds one call to the log. A call that timed out may have taken effect.
	callTimeout = 5 * clock.Second
)

// Writer runs a Batcher for a stream of the platform's log. It is safe for concurrent use.
type Writer struct {
	store  provider.Log
	stream string
	clock  clock.Clock
	// done is called without the lock when entries are on the log.
	done func(ids []string, offset int64)

	mu      sync.Mutex
	batcher *Batcher
	// ctx is the context of Run once it runs. No call to the log outlives it.
	ctx context.Context
}

// NewWriter returns a writer that makes up to rate appends per second. It calls done with the IDs
// of entries once they are on the log, and with their offset. As for NewBatcher, the prefix must be
// unique to this incarnation of the process. While Run is not running, appends that failed or were
// delayed by the rate are only made at the next Add or SetRate.
func NewWriter(store provider.Log, stream, prefix string, rate float64, c clock.Clock, done func(ids []string, offset int64)) *Writer {
	return &Writer{store: store, stream: stream, clock: c, done: done, batcher: NewBatcher(prefix, rate), ctx: context.Background()}
}

// Run drives the batcher until the context ends.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	t := time.NewTicker(tickInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.post(Tick{Now: w.clock.Now()})
		}
	}
}

// Add queues entries and returns without waiting until they are on the log.
func (w *Writer) Add(entries ...Entry) {
	w.post(Add{Now: w.clock.Now(), Entries: entries})
}

// Drop removes entries that are not in flight.
func (w *Writer) Drop(ids []string) { w.post(Drop{IDs: ids}) }

// SetRate sets the appends per second.
func (w *Writer) SetRate(rate float64) { w.post(SetRate{Now: w.clock.Now(), Rate: rate}) }

// Pending returns the number of entries that are not confirmed to be on the log.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.batcher.Pending()
}

// Appends returns the number of attempted appends.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.batcher.Appends()
}

// Failing reports whether the last call to the log failed.
func (w *Writer) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.batcher.Failing()
}

func (w *Writer) post(e Event) {
	w.mu.Lock()
	ctx := w.ctx
	effects := w.batcher.Reduce(e)
	w.mu.Unlock()
	for _, f := range effects {
		w.perform(ctx, f)
	}
}

func (w *Writer) perform(ctx context.Context, f Effect) {
	switch f := f.(type) {
	case Append:
		go w.append(ctx, f)
	case Scan:
		go w.scan(ctx, f)
	case Done:
		w.done(f.IDs, f.Offset)
	}
}

func (w *Writer) append(ctx context.Context, f Append) {
	data, err := Encode(f.Batch, f.Entries)
	if err != nil {
		w.post(Failed{Now: w.clock.Now(), Batch: f.Batch})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	offset, err := w.store.Append(ctx, w.stream, data)
	if err != nil {
		refused := errorx.IsOfType(err, provider.ErrUnavailable) || errorx.IsOfType(err, provider.ErrBusy)
		w.post(Failed{Now: w.clock.Now(), Batch: f.Batch, Unknown: !refused})
		return
	}
	w.post(Appended{Now: w.clock.Now(), Batch: f.Batch, Offset: offset})
}

func (w *Writer) scan(ctx context.Context, f Scan) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	page, err := w.store.Read(ctx, w.stream, f.From, 0)
	if errorx.IsOfType(err, provider.ErrExpired) {
		// The records that were to be searched have expired. A read beyond the head returns the
		// current bounds without records.
		const beyondHead = int64(1) << 62
		page, err = w.store.Read(ctx, w.stream, beyondHead, 0)
	}
	w.post(Scanned{Now: w.clock.Now(), Page: page, Err: err})
}
