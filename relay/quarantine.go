package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/quarantine"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	// maxTestWait and maxTestWaitRatio bound how long a request waits while another one tests a
	// block of its prompt, the latter as a fraction of the time that it has left.
	maxTestWait      = 1500 * clock.Millis(1)
	maxTestWaitRatio = 0.5
	// quarantineRetryAfter is the retry delay of a request with a quarantined block. Such a block
	// is tried again at most that often.
	quarantineRetryAfter = 30 * clock.Second
	// testRetryAfter is the retry delay of a request whose block is still being tested.
	testRetryAfter = 500 * clock.Millis(1)
	// maxEvidenceDelay is how long evidence of other entries may take. A request whose caller has a part of the answer waits
	// for it before the answer breaks off: another entry may know the request that was the cause.
	maxEvidenceDelay = 100 * clock.Millis(1)
	// proofDelay is the time from the head of an answer until the endpoint is asked whether it still
	// runs, if nothing else has shown that.
	proofDelay = 600 * clock.Millis(1)
	// firstLookDelay and lastLookDelay are the times after an answer has broken off at which an endpoint that accepted a
	// connection is asked again: a process that ends may close its connections before it stops listening.
	firstLookDelay = 30 * clock.Millis(1)
	lastLookDelay  = 200 * clock.Millis(1)
)

// keysOf returns what a request is known by when endpoints crash: by all that they see of it but its ID, the
// caller's deadline and the last event that the caller has. It must not be used further before the body was read.
func keysOf(req *Request) *quarantine.Keys {
	blocks := make([]string, len(req.Blocks))
	for i, b := range req.Blocks {
		blocks[i] = b.ID
	}
	return quarantine.NewKeys(blocks, func() [][]byte {
		content := [][]byte{[]byte(req.Method), []byte(req.Target), []byte(req.Model), req.body}
		for _, b := range req.Blocks {
			content = append(content, []byte(b.ID), strconv.AppendInt(nil, int64(b.Tokens), 10))
		}
		return content
	})
}

func incarnationOf(e *fleet.Endpoint) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: e.ID, Number: e.Incarnation}
}

// awaitAdmission waits while another request tests a block of the prompt. It returns a refusal if
// endpoints crash on a block, or if the test takes too long.
func (x *exchange) awaitAdmission(ctx context.Context) (err error) {
	s := x.server
	x.endTest()
	start := s.cfg.Clock.Now()
	until := start + min(maxTestWait, clock.Millis(maxTestWaitRatio*float64(x.remaining())))
	for {
		changed, now := s.quarantine.Changed(), s.cfg.Clock.Now()
		f, because, crashes := s.quarantine.Admit(x.req.ID, x.keys, x.view.FirstSpreader(), now)
		wait := until - now
		if f == quarantine.Quarantined && x.written && because == x.keys.Request() {
			if f = s.quarantine.AdmitBegun(x.req.ID, x.keys, now); f == quarantine.Quarantined && now < start+maxEvidenceDelay {
				f, wait = quarantine.Wait, start+maxEvidenceDelay-now
			}
		}
		switch {
		case f == quarantine.Admitted:
			return nil
		case f == quarantine.Test:
			x.beginTest(because, crashes)
			return nil
		case f == quarantine.Quarantined:
			s.countFinding(f)
			x.refusedFor = because
			return refusal.New(refusal.Quarantined, "endpoints crash on this request or a block of its prompt").WithRetryAfter(quarantineRetryAfter)
		case now >= until:
			s.countFinding(f)
			x.refusedFor = because
			return refusal.New(refusal.Quarantined, "another request tests whether endpoints crash on it").WithRetryAfter(testRetryAfter)
		}
		awaitChange(ctx, changed, wait)
		if ctx.Err() != nil || x.callerLeft(leftDuringTest) {
			return x.deadlineError(ctx.Err())
		}
	}
}

// awaitChange waits until the channel is closed, the time has passed or the context ends.
func awaitChange(ctx context.Context, changed <-chan struct{}, d clock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// beginTest notes that this request tests a suspected block.
func (x *exchange) beginTest(block string, crashes int) {
	if block != x.lastTested {
		x.server.countFinding(quarantine.Test)
		x.server.cfg.Log.Info("Request tests a suspected block", "request", x.req.ID, "block", block, "crashes", crashes)
	}
	x.tested, x.lastTested = block, block
}

// endTest lets other requests test the blocks that this one tested, if any.
func (x *exchange) endTest() {
	if x.tested != "" {
		x.server.quarantine.Release(x.req.ID, x.keys)
		x.tested = ""
	}
}

// recordAlive records that the attempt's endpoint sent something.
func (a *attempt) recordAlive(at clock.Millis) {
	s := a.exchange.server
	s.selector.RecordActivity(a.endpoint.ID, at)
	s.logAcquitted(s.quarantine.Alive(incarnationOf(a.endpoint), at), "answer")
}

// checkCrash finds out whether the endpoint of an attempt that has ended crashed, and records that.
func (a *attempt) checkCrash(ctx context.Context, r result) {
	x := a.exchange
	s := x.server
	now := s.cfg.Clock.Now()
	brokeOff := (r == failed || r == broken) && a.cause != nil && !a.silent && ctx.Err() == nil
	switch {
	case a.unsent:
		s.quarantine.Cancel(a.watch)
		if a.refused {
			s.recordCrash(a, now)
		}
	case a.tooLong:
		// It runs, and would send on.
		s.quarantine.Cancel(a.watch)
	case !s.quarantine.MayHaveCrashed(a.watch):
	case brokeOff && s.quarantine.IsCrashed(incarnationOf(a.endpoint)):
		// Another attempt has found out.
		s.quarantine.End(a.watch, true, now)
		s.recordCrash(a, now)
	case brokeOff:
		accepted, refused := s.cfg.Pool.Probe(ctx, a.endpoint.Address)
		s.quarantine.End(a.watch, true, s.cfg.Clock.Now())
		switch {
		case refused:
			s.recordCrash(a, now)
		case accepted:
			a.lookAgain(ctx)
		}
	case r == done && x.tested != "":
		// The test goes on until it is known what it has shown.
		x.tested = ""
		time.AfterFunc(proofDelay.Duration(), func() {
			s.proveAlive(a)
			s.quarantine.Release(x.req.ID, x.keys)
		})
	}
}

// lookAgain finds out whether the endpoint of an attempt that broke off goes on to listen. A request that is suspected
// already waits for the first look: its next attempt or its repeat would crash another endpoint meanwhile.
func (a *attempt) lookAgain(ctx context.Context) {
	s := a.exchange.server
	look := func() {
		refused := s.quarantine.IsCrashed(incarnationOf(a.endpoint))
		if !refused {
			_, refused = s.cfg.Pool.Probe(context.Background(), a.endpoint.Address)
		}
		if refused {
			s.recordCrash(a, s.cfg.Clock.Now())
		}
	}
	if s.quarantine.IsSuspected(a.exchange.keys, s.cfg.Clock.Now()) {
		clock.Pause(ctx, firstLookDelay)
		look()
	} else {
		time.AfterFunc(firstLookDelay.Duration(), look)
	}
	time.AfterFunc(lastLookDelay.Duration(), look)
}

// proveAlive asks an endpoint whether it still runs after an answer that ended early.
func (s *Server) proveAlive(a *attempt) {
	accepted, refused := s.cfg.Pool.Probe(context.Background(), a.endpoint.Address)
	switch {
	case accepted:
		s.logAcquitted(s.quarantine.Accepted(incarnationOf(a.endpoint), s.cfg.Clock.Now()), "answer")
	case refused:
		s.recordCrash(a, s.cfg.Clock.Now())
	}
}

// recordCrash records that the endpoint of an attempt crashed.
func (s *Server) recordCrash(a *attempt, now clock.Millis) {
	i := incarnationOf(a.endpoint)
	c, ok := s.quarantine.Crashed(i, now)
	if !ok {
		return
	}
	s.reportNow()
	s.metrics.GetOrCreateCounter("parsleydeal_endpoint_crashes_total").Inc()
	s.cfg.Log.Warn("Endpoint crashed", "endpoint", i.Endpoint, "born", i.Number, "address", a.endpoint.Address, "request", a.exchange.req.ID,
		"suspects", c.Suspects, "cleared", c.Cleared, "keys", listed(c.Keys))
}

// logFound logs and counts blocks that are quarantined from now on.
func (s *Server) logFound() {
	for _, block := range s.quarantine.Found(s.cfg.Clock.Now()) {
		s.metrics.GetOrCreateCounter("parsleydeal_quarantine_verdicts_total").Inc()
		s.cfg.Log.Warn("Block is quarantined", "block", block)
	}
}

// logAcquitted logs blocks that are no longer suspected.
func (s *Server) logAcquitted(blocks []string, by string) {
	if len(blocks) > 0 {
		s.cfg.Log.Info("Blocks are no longer suspected", "blocks", listed(blocks), "by", by)
	}
}

func (s *Server) countFinding(f quarantine.Finding) {
	s.metrics.GetOrCreateCounter(`parsleydeal_quarantine_decisions_total{finding="` + f.String() + `"}`).Inc()
}
