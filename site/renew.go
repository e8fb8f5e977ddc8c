package site

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// minRenewSlack is how much later than expected an answer of the store is before its connection counts as one that
	// may have gone silent for good. It is less than minOverdueSlack: other entries need not read in this one's
	// place because of a connection.
	minRenewSlack = 200 * clock.Millis(1)
	// noPatience makes no second call.
	noPatience = clock.Hour
)

// callResult is the result of a call to the store. again is true for the second one of two.
type callResult[T any] struct {
	value T
	err   error
	again bool
}

// callAgainIfLate makes a call that only reads from the store. If it has no answer after patience, its connection may
// have gone silent for good, and so may all that were open then: they are given up, and the call is made once more over a
// new one. The first answer counts. If there is none, the error is that of the first call.
func callAgainIfLate[T any](ctx context.Context, l *Loop, patience clock.Millis, call func(ctx context.Context, again bool) (T, error)) (value T, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult[T], 2)
	start := func(again bool) {
		go func() {
			v, err := call(ctx, again)
			results <- callResult[T]{v, err, again}
		}()
	}
	start(false)
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	madeAgain := false
	for pending := 1; pending > 0; {
		select {
		case <-timer.C:
			l.renewConnections()
			start(true)
			pending, madeAgain = pending+1, true
		case r := <-results:
			pending--
			if isAnswered(r.err) {
				l.countAgain(madeAgain, r.again)
				return r.value, r.err
			}
			if !r.again {
				err = r.err
			}
		}
	}
	l.renewAfter(err)
	return value, err
}

// isAnswered reports whether the store answered a call with the given error.
func isAnswered(err error) bool { return !errorx.IsOfType(err, provider.ErrUnknown) }

// renewAfter gives up the connections to the store after a call without an answer.
func (l *Loop) renewAfter(err error) {
	if !isAnswered(err) {
		l.renewConnections()
	}
}

// renewConnections has later calls use new connections to the store.
func (l *Loop) renewConnections() {
	l.metrics.GetOrCreateCounter("parsleydeal_store_connections_renewed_total").Inc()
	if l.cfg.Store.Renew != nil {
		l.cfg.Store.Renew()
	}
}

// countAgain counts the answers to calls that were made again, by whether the new connection had the first one.
func (l *Loop) countAgain(madeAgain, again bool) {
	switch {
	case again:
		l.metrics.GetOrCreateCounter(`parsleydeal_store_calls_again_total{first="new-connection"}`).Inc()
	case madeAgain:
		l.metrics.GetOrCreateCounter(`parsleydeal_store_calls_again_total{first="old-connection"}`).Inc()
	}
}
