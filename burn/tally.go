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

// Tally counts good and bad by objective. All fields only grow.
type Tally struct {
	// Requests counts those that should have had an answer, Unanswered those
	// that got no whole one.
	Requests   int64 `json:"requests,omitempty"`
	Unanswered int64 `json:"unanswered,omitempty"`
	// Firsts counts attempts with a first token, Late those beyond the limit.
	Firsts int64 `json:"firsts,omitempty"`
	Late   int64 `json:"late,omitempty"`
	// Gaps counts attempts with more than one token, Slow those beyond the limit.
	Gaps int64 `json:"gaps,omitempty"`
	Slow int64 `json:"slow,omitempty"`
	// Ratings counts ratings, Score adds them up.
	Ratings int64   `json:"ratings,omitempty"`
	Score   float64 `json:"score,omitempty"`
	// Exposed counts requests answered by a version that was held or withdrawn
	// by the time the answer ended.
	Exposed int64 `json:"exposed,omitempty"`
}

// Add adds another tally.
func (t *Tally) Add(o Tally) {
	t.Requests += o.Requests
	t.Unanswered += o.Unanswered
	t.Firsts += o.Firsts
	t.Late += o.Late
	t.Gaps += o.Gaps
	t.Slow += o.Slow
	t.Ratings += o.Ratings
	t.Score += o.Score
	t.Exposed += o.Exposed
}
