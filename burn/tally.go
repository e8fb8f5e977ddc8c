// Package burn reports how fast each route spends the errors that its
// service-level objectives allow, and on what.
//
// Each entry counts what it serves by its own clock. Reports of several
// processes are merged by process and epoch, so that a process asked twice
// counts once and a restarted one counts both lives.
package burn

// Key says where a request ran.
type Key struct {
	Route        string `json:"route"`
	Version      string `json:"version,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Organisation string `json:"organisation,omitempty"`
}

// Counts counts good and bad by objective. All fields only grow.
type Counts struct {
	// Requests counts those that should have had an answer, Unanswered those
	// that got no whole one.
	Requests   int64 `json:"requests,omitempty"`
	Unanswered int64 `json:"unanswered,omitempty"`
	// FirstTokens counts attempts with a first token, Late those beyond the limit.
	FirstTokens     int64 `json:"firsts,omitempty"`
	LateFirstTokens int64 `json:"late,omitempty"`
	// TokenGaps counts attempts with more than one token, Slow those beyond the limit.
	TokenGaps int64 `json:"gaps,omitempty"`
	SlowGaps  int64 `json:"slow,omitempty"`
	// Ratings counts ratings, Score adds them up.
	Ratings   int64   `json:"ratings,omitempty"`
	RatingSum float64 `json:"score,omitempty"`
	// Exposed counts requests answered by a version that was held or withdrawn
	// by the time the answer ended.
	Exposed int64 `json:"exposed,omitempty"`
}

// Add adds another tally.
func (t *Counts) Add(o Counts) {
	t.Requests += o.Requests
	t.Unanswered += o.Unanswered
	t.FirstTokens += o.FirstTokens
	t.LateFirstTokens += o.LateFirstTokens
	t.TokenGaps += o.TokenGaps
	t.SlowGaps += o.SlowGaps
	t.Ratings += o.Ratings
	t.RatingSum += o.RatingSum
	t.Exposed += o.Exposed
}
