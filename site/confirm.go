package site

import (
	"context"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// confirmTimeout limits the read that confirms the configuration for requests that wait. confirmPatience is when it
	// is made again over a new connection.
	confirmTimeout  = 400 * clock.Millis(1)
	confirmPatience = 150 * clock.Millis(1)
	// confirmRetryDelay is the minimum time from a failed confirmation to the next read for one, unless the store has
	// answered this entry since. Calls are billed also while the store is away.
	confirmRetryDelay = 5 * clock.Second
	// maxConfirmRounds is how many reads a request may wait for: one that was sent too early for it, and
	// one more.
	maxConfirmRounds = 2
)

// confirmation is a read of the operators' stream that requests wait for.
type confirmation struct {
	// done is closed at the end of the read; err is set before.
	done chan struct{}
	err  error
}

// Confirm makes sure that the view's configuration was the newest one at the given time or later. It reads
// the store if necessary, once for all requests that wait. Errors: ErrStale, and those of the store.
func (l *Loop) Confirm(ctx context.Context, since clock.Millis) (err error) {
	for range maxConfirmRounds {
		if l.View().ConfirmedAt() >= since {
			return nil
		}
		c, err := l.beginConfirmation(ctx)
		if err != nil {
			return err
		}
		select {
		case <-c.done:
			if c.err != nil {
				return c.err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if l.View().ConfirmedAt() >= since {
		return nil
	}
	return ErrStale.New("the store does not confirm the configuration")
}

// beginConfirmation returns the confirmation in progress, or begins one.
func (l *Loop) beginConfirmation(ctx context.Context) (c *confirmation, err error) {
	l.confirmMu.Lock()
	defer l.confirmMu.Unlock()
	if l.confirming != nil {
		return l.confirming, nil
	}
	switch now := l.cfg.Clock.Now(); {
	case now-l.confirmFailedAt < confirmRetryDelay && clock.Millis(l.answeredAt.Load()) <= l.confirmFailedAt:
		return nil, ErrStale.New("the store did not confirm the configuration a moment ago")
	case now < l.View().settledAt:
		return nil, ErrStale.New("the store came back from an older copy and may lack changes")
	}
	c = &confirmation{done: make(chan struct{})}
	l.confirming = c
	// The read serves other requests too, so it goes on if the one that began it ends.
	go l.runConfirmation(context.WithoutCancel(ctx), c)
	return c, nil
}

func (l *Loop) runConfirmation(ctx context.Context, c *confirmation) {
	clock.Pause(ctx, l.confirmReadAt+minReadInterval-l.cfg.Clock.Now())
	l.confirmReadAt = l.cfg.Clock.Now()
	c.err = l.readConfirmation(ctx)
	l.confirmMu.Lock()
	l.confirming = nil
	if c.err != nil {
		l.confirmFailedAt = l.cfg.Clock.Now()
	}
	l.confirmMu.Unlock()
	close(c.done)
}

// readConfirmation reads the operators' stream from its end on, and waits until the result is in the view.
func (l *Loop) readConfirmation(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	v := l.View()
	if v.operator.Offset < 0 {
		return ErrStale.New("the operators' stream was not read yet")
	}
	res, err := l.readAgainIfLate(ctx, confirmPatience, func(ctx context.Context, _ bool) (readResult, error) {
		return l.readFrom(ctx, OperatorStream, v.operator, 0)
	})
	if err != nil {
		return err
	}
	if res.next.Era != v.operator.Era {
		return provider.ErrExpired.New("store came back from an older copy")
	}
	l.handleOperator(ctx, res)
	return l.sync(ctx)
}

// sync waits until the events that were posted before are applied.
func (l *Loop) sync(ctx context.Context) (err error) {
	applied := make(chan struct{})
	l.post(ctx, barrier{applied})
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// barrier is an event that closes a channel once the events before it are applied.
type barrier struct{ applied chan struct{} }

func (barrier) event() {}
