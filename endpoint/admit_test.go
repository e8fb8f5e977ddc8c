package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/standin"
)

// An entry has newer tables than the endpoint to which it sends a request. The endpoint must wait
// for these tables instead of refusing the request or checking it against its old tables.
func TestOutdatedEndpointWaitsForTables(t *testing.T) {
	r := newRig(t, 3)
	head := r.head("r1")
	head.Revision = 1
	answer := r.runAsync(t.Context(), head, chatBody)
	time.AfterFunc(20*time.Millisecond, func() { r.patch("[tables.zones.zone-z]\nstate = \"in\"\n") })
	res := <-answer
	if res.refusal != nil {
		// On a slow machine the tables may arrive after the wait has ended. The refusal must
		// then be correct, and the next attempt must succeed.
		r.expectRefusal(res, refusal.Behind, refusal.NotRun)
		res = r.run(t.Context(), head, chatBody)
	}
	r.is.NoErr(res.err)
	r.is.Equal(res.text, standin.Text(3))
}

// The tables never arrive. The caller must be told that nothing ran, and when to retry.
func TestEndpointThatStaysOutdatedRefuses(t *testing.T) {
	r := newRig(t, 3)
	head := r.head("r1")
	head.Revision = 9
	res := r.run(t.Context(), head, chatBody)
	r.expectRefusal(res, refusal.Behind, refusal.NotRun)
	r.is.True(res.refusal.RetryAfter() > 0)
	r.is.Equal(r.engine.Started(), 0)
}

// runWhileQueued occupies the only slot of a cold endpoint, queues a second request, calls
// change and then releases the slot.
func (r *rig) runWhileQueued(change func()) (second result) {
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	first := r.runAsync(r.t.Context(), r.head("r1"), chatBody)
	r.eventually("slot in use", func() bool { return r.engine.Running() == 1 })
	queued := r.runAsync(r.t.Context(), r.head("r2"), chatBody)
	r.eventually("request waiting", func() bool { return r.e.gate.Load().Waiting == 1 })
	change()
	r.engine.SetFaults(standin.EngineFaults{})
	r.is.Equal((<-first).text, standin.Text(3))
	return <-queued
}

// A zone is taken out while a request waits for a slot. The request passed the check on the
// old tables; it must not run when it gets the slot.
func TestZoneOutBetweenAdmissionAndDispatch(t *testing.T) {
	r := newRig(t, 3)
	res := r.runWhileQueued(func() { r.patch("[tables.zones.zone-a]\nstate = \"out\"\n") })
	r.expectRefusal(res, refusal.ZoneOut, refusal.NotRun)
	r.is.Equal(r.engine.Started(), 1)
	r.eventually("slots released", func() bool { return r.e.gate.Load().Held == 0 })
}

// A version is withdrawn while a request for it waits for a slot. The request must not run when
// it gets the slot.
func TestWithdrawnBetweenAdmissionAndDispatch(t *testing.T) {
	r := newRig(t, 3)
	res := r.runWhileQueued(func() {
		r.patch("[tables.versions.\"small@2\"]\nquality = 0.9\n[tables.versions.\"small@1\"]\nquality = 0.9\nwithdrawn = true\n" +
			"[tables.pools.small]\nversions = [\"small@1\", \"small@2\"]\ncold-window = 1\nfull-window = 8\n" +
			"[tables.routes.quick]\norganisations = [\"desk\"]\nmodels = [{ model = \"small\", shares = { 1 = 0.0, 2 = 1.0 } }]\nquality-target = 0.5\n")
	})
	r.expectRefusal(res, refusal.Withdrawn, refusal.NotRun)
	r.is.Equal(r.engine.Started(), 1)
}

// The endpoint starts to drain while a request waits for a slot. The stream in progress must be
// delivered completely, the waiting request must be refused with the report that it did not run, and
// the endpoint must then be idle.
func TestDrainRefusesWaitingRequests(t *testing.T) {
	r := newRig(t, 3)
	res := r.runWhileQueued(func() {
		r.n.Drain(t.Context())
		r.eventually("draining", func() bool { return r.n.View().Draining() })
	})
	r.expectRefusal(res, refusal.Leaving, refusal.NotRun)
	r.is.True(res.last.GetLoad().GetLeaving())
	r.is.Equal(r.engine.Started(), 1)
	r.is.Equal(r.e.WaitIdle(t.Context()), 0)
	r.expectRefusal(r.run(t.Context(), r.head("r3"), chatBody), refusal.Leaving, refusal.NotRun)
}

// More requests arrive than the window of a cold endpoint admits. The engine must never get more
// than that. The others must be refused with the report that they did not run and a retry delay.
func TestColdEndpointStaysWithinItsWindow(t *testing.T) {
	r := newRig(t, 3)
	r.patch("[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 2\nfull-window = 2\nqueue = 1\nqueue-wait = \"1ms\"\n")
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	var answers []chan result
	for _, id := range []string{"a", "b"} {
		answers = append(answers, r.runAsync(t.Context(), r.head(id), chatBody))
	}
	r.eventually("window full", func() bool { return r.engine.Running() == 2 })
	res := r.run(t.Context(), r.head("c"), chatBody)
	r.expectRefusal(res, refusal.Saturated, refusal.NotRun)
	r.is.True(res.refusal.RetryAfter() > 0)
	r.engine.SetFaults(standin.EngineFaults{})
	for _, a := range answers {
		r.is.Equal((<-a).text, standin.Text(3))
	}
	r.is.Equal(r.engine.MaxRunning(), 2)
}

// An engine restarts, which only its changed generation number shows. The window has grown and
// must be back at its cold size before the next burst.
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

// A cold engine gets a burst far beyond its capacity. Without the window it would crash,
// restart cold and crash again. With it every request must be answered, and the engine must
// never crash.
func TestBurstDoesNotCrashColdEngine(t *testing.T) {
	r := newRig(t, 3)
	r.patch("[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 2\nfull-window = 64\nqueue = 400\nqueue-wait = \"30s\"\n")
	r.engine.SetColdStart(2, 64)
	const burst = 200
	answers := make([]chan result, burst)
	for i := range answers {
		answers[i] = r.runAsync(t.Context(), r.head(fmt.Sprint(i)), chatBody)
	}
	for _, a := range answers {
		r.is.Equal((<-a).text, standin.Text(3))
	}
	r.is.Equal(r.engine.Crashes(), 0)
	r.is.True(r.engine.MaxRunning() > 2) // the window has grown
	r.waitUntilIdle()
}

// A caller's timeout is shorter than the wait in the endpoint's queue. The request must not
// run after the timeout.
func TestDeadlineIncludesQueueWait(t *testing.T) {
	r := newRig(t, 3)
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	first := r.runAsync(t.Context(), r.head("r1"), chatBody)
	r.eventually("slot in use", func() bool { return r.engine.Running() == 1 })
	head := r.head("r2")
	head.DeadlineMillis = 30
	r.expectRefusal(r.run(t.Context(), head, chatBody), refusal.DeadlinePassed, refusal.NotRun)
	r.engine.SetFaults(standin.EngineFaults{})
	r.is.Equal((<-first).text, standin.Text(3))
	r.is.Equal(r.engine.Started(), 1)
}
