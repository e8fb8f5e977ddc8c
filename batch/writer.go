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
	tickEvery = 20 * clock.Millis(1)
	// callTimeout bounds one call of the log; a call cut short may have taken
	// effect.
	callTimeout = 5 * clock.Second
)

// Writer runs a Batcher over a stream of the platform's log.
type Writer struct {
	store  provider.Log
	stream string
	clock  clock.Clock
	// done is called without the lock for entries that stand on the log.
	done func(ids []string, offset int64)

	mu sync.Mutex
	b  *Batcher
	// ctx is Run's once it runs; no call outlives it.
	ctx context.Context
}

// NewWriter makes a writer; Run gives it the time.
func NewWriter(store provider.Log, stream, prefix string, rate float64, c clock.Clock, done func(ids []string, offset int64)) *Writer {
	return &Writer{store: store, stream: stream, clock: c, done: done, b: NewBatcher(prefix, rate), ctx: context.Background()}
}

// Run ticks the batcher until the context ends.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	t := time.NewTicker(tickEvery.Duration())
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

// Add hands over entries; it does not wait for them.
func (w *Writer) Add(entries ...Entry) {
	w.post(Add{Now: w.clock.Now(), Entries: entries})
}

// Drop takes back entries that are not being sent.
func (w *Writer) Drop(ids []string) { w.post(Drop{IDs: ids}) }

// SetRate sets the appends a second.
func (w *Writer) SetRate(rate float64) { w.post(SetRate{Now: w.clock.Now(), Rate: rate}) }

// Pending returns how many entries are not yet known to stand on the log.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Pending()
}

// Appends counts the appends tried.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Appends()
}

// Failing reports whether the log failed last.
func (w *Writer) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Failing()
}

func (w *Writer) post(e Event) {
	w.mu.Lock()
	ctx := w.ctx
	effects := w.b.Reduce(e)
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
		// What was searched for has expired; the head alone is of use.
		const beyondHead = int64(1) << 62
		page, err = w.store.Read(ctx, w.stream, beyondHead, 0)
	}
	w.post(Scanned{Now: w.clock.Now(), Page: page, Err: err})
}
