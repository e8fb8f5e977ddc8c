package placement

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
)

// Statement is what an answer says of the endpoint that gave it.
type Statement struct {
	// Rate is how many requests a second the endpoint takes from all entries together;
	// it holds where HasRate says that the endpoint names one.
	Rate    float64
	HasRate bool
}

// stated is the last statement of an endpoint.
type stated struct {
	Statement
	// born is the start of the endpoint that made it: the next process under the same
	// ID has said nothing yet.
	born int64
	// at is when it was heard, rateSince since when the endpoint names a rate.
	at        clock.Millis
	rateSince clock.Millis
}

// State takes an endpoint's statement, by the answer to a request that was sent at an
// instant, and reports whether it differs from the one before.
func (b *Board) State(e *fleet.Endpoint, s Statement, sentAt, now clock.Millis) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mark(e.ID).state(e, s, sentAt, now)
}

func (m *mark) state(e *fleet.Endpoint, s Statement, sentAt, now clock.Millis) (changed bool) {
	known := m.statedOf(e)
	// Answers may overtake one another: one that was asked for before the limit was named
	// does not lift it.
	if known.HasRate && !s.HasRate && sentAt < known.at {
		return false
	}
	next := stated{Statement: s, born: e.Born, at: now, rateSince: now}
	if known.HasRate && s.HasRate {
		next.rateSince = known.rateSince
	}
	m.stated = next
	return known.Statement != s
}

// statedOf returns what an endpoint has said since its start.
func (m *mark) statedOf(e *fleet.Endpoint) stated {
	if m.stated.born != e.Born {
		return stated{born: e.Born}
	}
	return m.stated
}

// Stated returns what an endpoint has said of itself since its start.
func (b *Board) Stated(e *fleet.Endpoint) Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mark(e.ID).statedOf(e).Statement
}

// Limited counts the endpoints that name a rate.
func (b *Board) Limited() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.marks {
		if m.stated.HasRate {
			n++
		}
	}
	return n
}
