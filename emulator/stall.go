package emulator

import "github.com/parsleydeal/parsleydeal/clock"

// Pause is a time, in seconds from the start, in which the first entries do not run. Requests that reach them lie unread
// until its end.
type Pause struct {
	From  float64 `toml:"from"`
	Until float64 `toml:"until"`
	// Fraction of the entries are paused.
	Fraction float64 `toml:"fraction"`
}

// Leaving describes callers that leave.
type Leaving struct {
	// Fraction of the callers leave if they have no answer after Millis.
	Fraction float64 `toml:"fraction"`
	Millis   int64   `toml:"after-ms"`
}

// Severing is a moment, in seconds from the start, at which the connections at hand to the first endpoints of each zone go
// silent for good.
type Severing struct {
	At        float64 `toml:"at"`
	Endpoints int     `toml:"endpoints"`
}

// silentTimeout is how long an entry waits for the first byte on a connection that is silent.
const silentTimeout = 600 * clock.Millis(1)

// pausedUntil returns the end of the pause in which an entry is; 0 if it runs.
func (sim *simulation) pausedUntil(e *entry, now clock.Millis) clock.Millis {
	seconds := float64(now) / float64(clock.Second)
	for _, p := range sim.load.Pauses {
		if seconds >= p.From && seconds < p.Until && float64(e.index) < p.Fraction*float64(len(sim.entries)) {
			return clock.Millis(p.Until * float64(clock.Second))
		}
	}
	return 0
}

// drawLeaving sets when the caller of a request leaves, if it does.
func (sim *simulation) drawLeaving(r *request) {
	if l := sim.load.Leaving; l.Fraction > 0 && sim.rnd.Float64() < l.Fraction {
		r.leavesAt = r.startedAt + clock.Millis(l.Millis)
	}
}

// hasLeft reports whether the caller of a request has left without an answer, and counts it once.
func (sim *simulation) hasLeft(r *request, now clock.Millis) bool {
	if r.leavesAt == 0 || now < r.leavesAt || r.answered {
		return false
	}
	if !r.left {
		r.left = true
		sim.result.Left++
	}
	return true
}

// countLeft counts a request that is sent although its caller has left.
func (sim *simulation) countLeft(r *request, now clock.Millis) {
	if sim.hasLeft(r, now) {
		sim.result.SentAfterLeft++
	}
}

// sever makes the connections that entries have at hand silent.
func (sim *simulation) sever(now clock.Millis) {
	for _, s := range sim.load.Severings {
		if clock.Millis(s.At*float64(clock.Second)) != now {
			continue
		}
		for _, entry := range sim.entries {
			for _, e := range sim.endpoints {
				if e.number < s.Endpoints {
					entry.silent[e.id] = true
				}
			}
		}
	}
}

// meetsSilence reports whether an attempt uses a connection that has gone silent. The entry then gives up all that it had
// to the endpoint, and sends the request again once its time for the first byte has passed.
func (sim *simulation) meetsSilence(r *request, endpoint string, now clock.Millis) bool {
	if !r.entry.silent[endpoint] {
		return false
	}
	delete(r.entry.silent, endpoint)
	sim.result.Silent++
	sim.schedule(now+silentTimeout, func(now clock.Millis) { sim.send(r, now) })
	return true
}
