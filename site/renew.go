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
	// noPatience makes no second read.
	noPatience = clock.Hour
)

// readOutcome is the outcome of a read of the store; again is true for the second one of two.
type readOutcome struct {
	readResult
	err   error
	again bool
}

// readAgainIfLate reads from the store. If there is no answer after patience, the connection may have gone silent for good,
// and so may all that were open then: they are given up, and the read is made once more over a new one. The first answer
// counts. If there is none, the error is that of the first read.
func (l *Loop) readAgainIfLate(ctx context.Context, patience clock.Millis, read func(ctx context.Context, again bool) (readResult, error)) (res readResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan readOutcome, 2)
	start := func(again bool) {
		go func() {
			res, err := read(ctx, again)
			outcomes <- readOutcome{res, err, again}
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
		case o := <-outcomes:
			pending--
			if isAnswered(o.err) {
				l.countAgain(madeAgain, o.again)
				return o.readResult, o.err
			}
			if !o.again {
				err = o.err
			}
		}
	}
	l.renewAfter(err)
	return res, err
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
