package claim

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// maxWaiting bounds the claims of a stream under way in one process.
	maxWaiting = 4096
	// beyondHead is an offset that no stream reaches.
	beyondHead = int64(1) << 62
)

// Claimer puts claims on one stream and reads what stands.
type Claimer struct {
	store  provider.Log
	stream string
	writer *batch.Writer

	mu sync.Mutex
	// waiters holds a channel for each claim under way, at most maxWaiting. It
	// gets the claim's offset.
	waiters map[string]chan int64

	// reading guards state and is held while the log is read.
	reading sync.Mutex
	state   *State
}

// NewClaimer makes a book of a stream; Run gives it the time. Prefix is unlike any
// other process start's.
func NewClaimer(store provider.Log, stream, prefix string, c clock.Clock) *Claimer {
	b := &Claimer{store: store, stream: stream, waiters: make(map[string]chan int64)}
	b.writer = batch.NewWriter(store, stream, prefix, batch.ClaimAppendsPerSecond/Streams, c, b.done)
	return b
}

// Run ticks the book until the context ends.
func (b *Claimer) Run(ctx context.Context) { b.writer.Run(ctx) }

func (b *Claimer) done(ids []string, offset int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		if w, ok := b.waiters[id]; ok {
			w <- offset
			delete(b.waiters, id)
		}
	}
}

// Claim puts a claim on the log and returns the claim that stands for its key.
// An error leaves it open whether the claim stands; nothing may be dispatched.
func (b *Claimer) Claim(ctx context.Context, c *wire.Claim) (s *wire.Claim, offset int64, err error) {
	defer func() {
		if err != nil {
			err = ErrUnsettled.Wrap(err, "claim on %s", b.stream)
		}
	}()
	if s, offset, ok := b.known(c); ok {
		return s, offset, nil
	}
	if offset, err = b.append(ctx, c); err != nil {
		return nil, 0, err
	}
	return b.read(ctx, c, offset)
}

// known answers a claim that has lost already, as a retry's first claim has,
// without an append. What stands can only be followed by a later round.
func (b *Claimer) known(c *wire.Claim) (s *wire.Claim, offset int64, ok bool) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.state == nil {
		return nil, 0, false
	}
	s, offset, ok = b.state.Holder(c.GetKey())
	return s, offset, ok && s.GetRound() >= c.GetRound()
}

func (b *Claimer) append(ctx context.Context, c *wire.Claim) (offset int64, err error) {
	id := string(c.GetKey()) + "/" + c.GetRequest() + "/" + c.GetVm()
	w := make(chan int64, 1)
	b.mu.Lock()
	if len(b.waiters) >= maxWaiting {
		b.mu.Unlock()
		return 0, Errors.NewType("full").New("%d claims wait for the log", maxWaiting)
	}
	b.waiters[id] = w
	b.mu.Unlock()
	b.writer.Add(batch.Entry{ID: id, Claim: c})
	select {
	case offset = <-w:
		return offset, nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	delete(b.waiters, id)
	b.mu.Unlock()
	b.writer.Drop([]string{id})
	return 0, ctx.Err()
}

// read brings the state past the claim's record, then looks who stands.
func (b *Claimer) read(ctx context.Context, c *wire.Claim, offset int64) (s *wire.Claim, at int64, err error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if err = b.begin(ctx); err != nil {
		return nil, 0, err
	}
	for b.state.Next() <= offset {
		page, err := b.store.Read(ctx, b.stream, b.state.Next(), 0)
		if errorx.IsOfType(err, provider.ErrExpired) {
			page, err = b.skip(ctx)
		}
		if err != nil {
			return nil, 0, err
		}
		for _, r := range page.Records {
			b.state.Apply(r.Offset, r.Data)
		}
	}
	s, at, ok := b.state.Holder(c.GetKey())
	if !ok {
		return nil, 0, Errors.NewType("missing").New("record %d holds no claim of the key", offset)
	}
	return s, at, nil
}

// begin starts the state far enough back to remember as many keys as any other
// process: each record has at least one claim.
func (b *Claimer) begin(ctx context.Context) (err error) {
	if b.state != nil {
		return nil
	}
	page, err := b.store.Read(ctx, b.stream, beyondHead, 0)
	if err != nil {
		return err
	}
	b.state = NewState(max(page.First, page.Head-MaxKeys), MaxKeys)
	return nil
}

func (b *Claimer) skip(ctx context.Context) (page provider.Page, err error) {
	page, err = b.store.Read(ctx, b.stream, beyondHead, 0)
	b.state.Skip(page.First)
	return page, err
}
