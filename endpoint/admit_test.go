package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/standin"
)

// An entry has a change that this endpoint lacks, and sends a request decided on
// it. The endpoint waits for the change instead of refusing, or deciding on what
// was in force before.
func TestOutdatedEndpointWaitsForTables(t *testing.T) {
	r := newRig(t, 3)
	head := r.head("r1")
	head.Revision = 1
	answered := r.begin(t.Context(), head, chatBody)
	time.AfterFunc(20*time.Millisecond, func() { r.patch("[tables.zones.zone-z]\nstate = \"in\"\n") })
	g := <-answered
	if g.refusal != nil {
		// A slow machine may take longer than a request waits; then the refusal
		// must be true and the next attempt must pass.
		r.refused(g, refusal.Behind, refusal.NotRun)
		g = r.run(t.Context(), head, chatBody)
	}
	r.is.NoErr(g.err)
	r.is.Equal(g.text, standin.Text(3))
}

// The change never comes. The caller is told that nothing ran, and when to come
// back.
func TestEndpointThatStaysOutdatedRefuses(t *testing.T) {
	r := newRig(t, 3)
	head := r.head("r1")
	head.Revision = 9
	g := r.run(t.Context(), head, chatBody)
	r.refused(g, refusal.Behind, refusal.NotRun)
	r.is.True(g.refusal.RetryAfter() > 0)
	r.is.Equal(r.engine.Started(), 0)
}

// waitWhile holds the only place of a cold endpoint, lets a second request wait
// for it, lets something happen and then frees the place.
func (r *rig) waitWhile(happens func()) (second got) {
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	first := r.begin(r.t.Context(), r.head("r1"), chatBody)
	r.eventually("place held", func() bool { return r.engine.Running() == 1 })
	waiting := r.begin(r.t.Context(), r.head("r2"), chatBody)
	r.eventually("request waiting", func() bool { return r.e.gate.Load().Waiting == 1 })
	happens()
	r.engine.SetFaults(standin.EngineFaults{})
	r.is.Equal((<-first).text, standin.Text(3))
	return <-waiting
}

// Operators take a zone out while a request waits for a place. It was admitted
// on the old tables; when its place comes free it must not run.
func TestZoneOutBetweenAdmissionAndDispatch(t *testing.T) {
	r := newRig(t, 3)
	g := r.waitWhile(func() { r.patch("[tables.zones.zone-a]\nstate = \"out\"\n") })
	r.refused(g, refusal.ZoneOut, refusal.NotRun)
	r.is.Equal(r.engine.Started(), 1)
	r.eventually("places given back", func() bool { return r.e.gate.Load().Held == 0 })
}

// A version is withdrawn while a request for it waits for a place.
func TestWithdrawnBetweenAdmissionAndDispatch(t *testing.T) {
	r := newRig(t, 3)
	g := r.waitWhile(func() {
		r.patch("[tables.versions.\"small@2\"]\nquality = 0.9\n[tables.versions.\"small@1\"]\nquality = 0.9\nwithdrawn = true\n" +
			"[tables.pools.small]\nversions = [\"small@1\", \"small@2\"]\ncold-window = 1\nfull-window = 8\n" +
			"[tables.routes.quick]\norganisations = [\"desk\"]\nmodels = [{ model = \"small\", shares = { 1 = 0.0, 2 = 1.0 } }]\nquality-target = 0.5\n")
	})
	r.refused(g, refusal.Withdrawn, refusal.NotRun)
	r.is.Equal(r.engine.Started(), 1)
}

// The endpoint is told to stop while a request waits for a place. The stream
// under way ends whole, the waiting request is refused as not run, and then the
// endpoint is idle.
func TestDrainRefusesWaitingRequests(t *testing.T) {
	r := newRig(t, 3)
	g := r.waitWhile(func() {
		r.n.Drain(t.Context())
		r.eventually("draining", func() bool { return r.n.View().Draining() })
	})
	r.refused(g, refusal.Leaving, refusal.NotRun)
	r.is.True(g.last.GetLoad().GetLeaving())
	r.is.Equal(r.engine.Started(), 1)
	r.is.Equal(r.e.WaitIdle(t.Context()), 0)
	r.refused(r.run(t.Context(), r.head("r3"), chatBody), refusal.Leaving, refusal.NotRun)
}

// More requests come than a cold endpoint may hold. The engine never gets more
// than its window; the surplus is told that it did not run and when to come back.
func TestColdEndpointStaysWithinItsWindow(t *testing.T) {
	r := newRig(t, 3)
	r.patch("[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 2\nfull-window = 2\nqueue = 1\nqueue-wait = \"1ms\"\n")
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	var answers []chan got
	for _, id := range []string{"a", "b"} {
		answers = append(answers, r.begin(t.Context(), r.head(id), chatBody))
	}
	r.eventually("window full", func() bool { return r.engine.Running() == 2 })
	g := r.run(t.Context(), r.head("c"), chatBody)
	r.refused(g, refusal.Saturated, refusal.NotRun)
	r.is.True(g.refusal.RetryAfter() > 0)
	r.engine.SetFaults(standin.EngineFaults{})
	for _, a := range answers {
		r.is.Equal((<-a).text, standin.Text(3))
	}
	r.is.Equal(r.engine.Most(), 2)
}

// An engine restarts unnoticed by anyone but its own generation. The window that
// had opened must be small again before the next burst.
func TestEngineRestartClosesWindow(t *testing.T) {
	r := newRig(t, 1)
	r.eventually("window opened", func() bool {
		_ = r.run(t.Context(), r.head("warm"), chatBody)
		return r.e.gate.Load().Window > 1
	})
	r.eventually("generation seen", func() bool { return r.e.status.Load() != nil })
	r.engine.Restart()
	r.eventually("window closed", func() bool { return r.e.gate.Load().Closed > 0 })
	r.is.Equal(r.e.gate.Load().Window, 1)
}

// A cold engine is given a burst far beyond what it bears. Without the window it
// falls over, starts again cold and falls over again. With it every request is
// answered in its turn, and the engine never falls.
func TestBurstDoesNotCrashColdEngine(t *testing.T) {
	r := newRig(t, 3)
	r.patch("[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 2\nfull-window = 64\nqueue = 400\nqueue-wait = \"30s\"\n")
	r.engine.SetCold(2, 64)
	const burst = 200
	answers := make([]chan got, burst)
	for i := range answers {
		answers[i] = r.begin(t.Context(), r.head(fmt.Sprint(i)), chatBody)
	}
	for _, a := range answers {
		r.is.Equal((<-a).text, standin.Text(3))
	}
	r.is.Equal(r.engine.Falls(), 0)
	r.is.True(r.engine.Most() > 2) // the window opened
	r.idle()
}

// A caller waits for a short time only, and the endpoint's queue is slow. The
// request must not run when nobody waits for it any more.
func TestDeadlineIncludesQueueWait(t *testing.T) {
	r := newRig(t, 3)
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	first := r.begin(t.Context(), r.head("r1"), chatBody)
	r.eventually("place held", func() bool { return r.engine.Running() == 1 })
	head := r.head("r2")
	head.DeadlineMillis = 30
	r.refused(r.run(t.Context(), head, chatBody), refusal.DeadlinePassed, refusal.NotRun)
	r.engine.SetFaults(standin.EngineFaults{})
	r.is.Equal((<-first).text, standin.Text(3))
	r.is.Equal(r.engine.Started(), 1)
}
