// Package burn reports how fast each route spends the error budget of its service-level objectives,
// and the main causes.
//
// Each entry (router process) counts the requests that it serves and assigns them to time windows
// by its own clock. Reports of several processes are merged by process and epoch, so that a process
// that reports twice counts once, and both incarnations of a restarted process count.
package burn

// Key identifies where a request ran.
type Key struct {
	Route        string `json:"route"`
	Version      string `json:"version,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Organisation string `json:"organisation,omitempty"`
}

// Counts holds the numbers of all events and of bad events for each objective. All fields only
// increase.
type Counts struct {
	// Requests counts the requests that should have been answered, Unanswered those that got no
	// complete answer.
	Requests   int64 `json:"requests,omitempty"`
	Unanswered int64 `json:"unanswered,omitempty"`
	// FirstTokens counts attempts with a first token, LateFirstTokens those whose first token
	// exceeded the objective's limit.
	FirstTokens     int64 `json:"firsts,omitempty"`
	LateFirstTokens int64 `json:"late,omitempty"`
	// TokenGaps counts attempts with more than one token, SlowGaps those whose mean time between
	// tokens exceeded the objective's limit.
	TokenGaps int64 `json:"gaps,omitempty"`
	SlowGaps  int64 `json:"slow,omitempty"`
	// Ratings counts ratings, RatingSum is the sum of their scores.
	Ratings   int64   `json:"ratings,omitempty"`
	RatingSum float64 `json:"score,omitempty"`
	// Exposed counts requests answered by a version that was on hold or withdrawn by the time the
	// answer ended.
	Exposed int64 `json:"exposed,omitempty"`
}

// Add adds the counts of o.
func (c *Counts) Add(o Counts) {
	c.Requests += o.Requests
	c.Unanswered += o.Unanswered
	c.FirstTokens += o.FirstTokens
	c.LateFirstTokens += o.LateFirstTokens
	c.TokenGaps += o.TokenGaps
	c.SlowGaps += o.SlowGaps
	c.Ratings += o.Ratings
	c.RatingSum += o.RatingSum
	c.Exposed += o.Exposed
}
