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
	// maxPendingClaims is the maximum number of claims of one stream that wait for the log in one
	// process.
	maxPendingClaims = 4096
	// beyondHead is an offset past the end of any stream. Reading it returns only the stream's bounds.
	beyondHead = int64(1) << 62
)

// Claimer appends claims to one stream of the log and reads which claim holds a key.
type Claimer struct {
	store  provider.Log
	stream string
	writer *batch.Writer

	mu sync.Mutex
	// waiters holds a channel for each pending claim, at most maxPendingClaims. The
	// claim's offset is sent on it.
	waiters map[string]chan int64

	// stateMu guards state. It is held while the log is read.
	stateMu sync.Mutex
	state   *State
}

// NewClaimer returns a claimer for a stream. Appends that failed or were delayed by the rate limit
// are made only while Run is running. The batch IDs of the claimer start with prefix, which must be
// unique to this incarnation of the process.
func NewClaimer(store provider.Log, stream, prefix string, c clock.Clock) *Claimer {
	k := &Claimer{store: store, stream: stream, waiters: make(map[string]chan int64)}
	k.writer = batch.NewWriter(store, stream, prefix, batch.ClaimAppendsPerSecond/Streams, c, k.appended)
	return k
}

// Run appends pending claims until the context ends.
func (k *Claimer) Run(ctx context.Context) { k.writer.Run(ctx) }

func (k *Claimer) appended(ids []string, offset int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		if w, ok := k.waiters[id]; ok {
			w <- offset
			delete(k.waiters, id)
		}
	}
}

// Claim appends a claim to the log and returns the claim that holds its key, with that claim's
// offset. After an error it is unknown whether the claim holds the key, so its attempt must not be
// dispatched.
func (k *Claimer) Claim(ctx context.Context, c *wire.Claim) (holder *wire.Claim, offset int64, err error) {
	defer func() {
		if err != nil {
			err = ErrUnsettled.Wrap(err, "claim on %s", k.stream)
		}
	}()
	if holder, offset, ok := k.alreadyLost(c); ok {
		return holder, offset, nil
	}
	if offset, err = k.append(ctx, c); err != nil {
		return nil, 0, err
	}
	return k.read(ctx, c, offset)
}

// alreadyLost returns the holder of a claim's key, and true if the claim is of the same or an
// earlier round than the holder. Such a claim can no longer hold the key and need not be appended.
// This is usual if a caller repeats a call: the first claim of the new request is of the first
// round, which the previous request has claimed.
func (k *Claimer) alreadyLost(c *wire.Claim) (holder *wire.Claim, offset int64, ok bool) {
	k.stateMu.Lock()
	defer k.stateMu.Unlock()
	if k.state == nil {
		return nil, 0, false
	}
	holder, offset, ok = k.state.Holder(c.GetKey())
	return holder, offset, ok && holder.GetRound() >= c.GetRound()
}

func (k *Claimer) append(ctx context.Context, c *wire.Claim) (offset int64, err error) {
	id := string(c.GetKey()) + "/" + c.GetRequest() + "/" + c.GetVm()
	w := make(chan int64, 1)
	k.mu.Lock()
	if len(k.waiters) >= maxPendingClaims {
		k.mu.Unlock()
		return 0, Errors.NewType("full").New("%d claims wait for the log", maxPendingClaims)
	}
	k.waiters[id] = w
	k.mu.Unlock()
	k.writer.Add(batch.Entry{ID: id, Claim: c})
	select {
	case offset = <-w:
		return offset, nil
	case <-ctx.Done():
	}
	k.mu.Lock()
	delete(k.waiters, id)
	k.mu.Unlock()
	k.writer.Drop([]string{id})
	return 0, ctx.Err()
}

// read applies the log up to the claim's record and returns the holder of its key.
func (k *Claimer) read(ctx context.Context, c *wire.Claim, offset int64) (holder *wire.Claim, holderOffset int64, err error) {
	k.stateMu.Lock()
	defer k.stateMu.Unlock()
	if err = k.initState(ctx); err != nil {
		return nil, 0, err
	}
	for k.state.Next() <= offset {
		page, err := k.store.Read(ctx, k.stream, k.state.Next(), 0)
		if errorx.IsOfType(err, provider.ErrExpired) {
			page, err = k.skip(ctx)
		}
		if err != nil {
			return nil, 0, err
		}
		for _, r := range page.Records {
			k.state.Apply(r.Offset, r.Data)
		}
	}
	holder, holderOffset, ok := k.state.Holder(c.GetKey())
	if !ok {
		return nil, 0, Errors.NewType("missing").New("record %d holds no claim of the key", offset)
	}
	return holder, holderOffset, nil
}

// initState starts the state MaxKeys records before the head of the log. Each record
// has at least one claim, so the state remembers as many keys as any other process.
func (k *Claimer) initState(ctx context.Context) (err error) {
	if k.state != nil {
		return nil
	}
	page, err := k.store.Read(ctx, k.stream, beyondHead, 0)
	if err != nil {
		return err
	}
	k.state = NewState(max(page.First, page.Head-MaxKeys), MaxKeys)
	return nil
}

// skip moves the state past records that the log no longer retains.
func (k *Claimer) skip(ctx context.Context) (page provider.Page, err error) {
	page, err = k.store.Read(ctx, k.stream, beyondHead, 0)
	k.state.Skip(page.First)
	return page, err
}
