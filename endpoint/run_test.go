package endpoint

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/standin"
)

// idle waits until the endpoint has neither places taken nor calls under way.
func (r *rig) idle() {
	r.t.Helper()
	r.eventually("places and calls given back", func() bool { return r.e.gate.Load().Held == 0 && r.e.active.Load() == 0 })
}

// A caller disconnects in the middle of a stream. The engine must hear of it, and
// the place must come free.
func TestCancelReachesEngine(t *testing.T) {
	r := newRig(t, 3)
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	ctx, cancel := context.WithCancel(t.Context())
	answered := r.begin(ctx, r.head("r1"), chatBody)
	r.eventually("run begun", func() bool { return r.engine.Running() == 1 })
	cancel()
	<-answered
	r.eventually("engine told", func() bool { return r.engine.Cancelled() == 1 })
	r.idle()
}

// An entry vanishes in the middle of a keyed request. The run goes on, and an
// entry that asks for it gets the whole answer. It is not billed from here: the
// caller's retry may be answered and billed by another run.
func TestKeyedRunContinuesWithoutItsEntry(t *testing.T) {
	r := newRig(t, 5)
	r.e.orphan = func(*wire.Bill) { t.Error("a run that nobody may have got was billed") }
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	head := r.head("r1")
	head.IdempotencyKey = "k"
	r.cut(head, chatBody, func() bool { return r.engine.Running() == 1 })
	r.engine.SetFaults(standin.EngineFaults{})
	kept, err := r.gate().Kept(t.Context(), &wire.KeptRequest{IdempotencyKey: "k", Organisation: "desk"})
	r.is.NoErr(err)
	r.is.Equal(take(kept.Recv).text, standin.Text(5))
	r.is.Equal(r.engine.Cancelled(), 0)
	r.idle()
}

// cut runs an attempt and cuts its connection once it is under way.
func (r *rig) cut(head *wire.RunHead, body string, begun func() bool) {
	r.t.Helper()
	ctx, cancel := context.WithCancel(r.t.Context())
	answered := r.begin(ctx, head, body)
	r.eventually("run begun", begun)
	cancel()
	<-answered
}

// An entry vanishes in the middle of a call that charges a fee. The fee is
// charged, so the step must be billed, and the answer be there for the retry.
func TestCallOfDisconnectedEntryIsBilled(t *testing.T) {
	r := newPlainRig(t)
	orphans := make(chan *wire.Bill, 1)
	r.e.orphan = func(b *wire.Bill) { orphans <- b }
	r.plain.SetFaults(standin.PlainFaults{Stall: true})
	head := r.call("r1", "POST", "fees")
	head.IdempotencyKey = "k"
	r.cut(head, "fee", func() bool { return r.plain.Calls("POST", "/fees") == 1 })
	r.plain.SetFaults(standin.PlainFaults{})
	r.eventually("step billed", func() bool { return len(orphans) == 1 })
	b := <-orphans
	r.is.Equal(b.GetRequest(), "r1")
	r.is.Equal(b.GetRoute(), "services/records")
	r.is.Equal(b.GetSteps()[0].GetCost(), int64(5))
	kept, err := r.gate().Kept(t.Context(), &wire.KeptRequest{Request: "r1", Organisation: "desk"})
	r.is.NoErr(err)
	r.is.Equal(take(kept.Recv).data, "POST /fees\nfee")
	r.idle()
}

// An entry that took the last piece has billed the step; the endpoint must not.
func TestDeliveredAnswerIsNotBilledTwice(t *testing.T) {
	r := newPlainRig(t)
	orphaned := false
	r.e.orphan = func(*wire.Bill) { orphaned = true }
	r.is.Equal(r.run(t.Context(), r.call("r1", "POST", "fees"), "fee").data, "POST /fees\nfee")
	r.idle()
	r.is.True(!orphaned)
}

func (r *rig) refuse(head *wire.RunHead, epoch uint64) *wire.RefuseReply {
	r.t.Helper()
	out, err := r.gate().Refuse(r.t.Context(), &wire.RefuseRequest{
		Request: head.GetRequest(), Attempt: head.GetAttempt(), Organisation: head.GetOrganisation(),
		GateEpoch: epoch, Claim: head.GetClaim(), ClaimStream: head.GetClaimStream(),
	})
	r.is.NoErr(err)
	return out
}

// A caller's second try asks the endpoint to refuse the first attempt, which is
// still on its way, and tells its caller "not run". When the first attempt
// arrives after all it must not run.
func TestRefusalBeforeAttemptPreventsRun(t *testing.T) {
	r := newPlainRig(t)
	head := r.call("r1", "POST", "fees")
	head.ClaimStream = "claims-0"
	epoch := r.e.load().GetEpoch()
	r.is.Equal(r.refuse(head, epoch).GetRun(), wire.RunState_RUN_NOT_RUN)
	r.refused(r.run(t.Context(), head, "fee"), refusal.Tombstoned, refusal.NotRun)
	r.is.Equal(r.plain.Calls("POST", "/fees"), 0)
}

// An attempt ran, and its endpoint is asked to refuse it. Saying "not run" would
// charge a fee twice.
func TestRefusalAfterRunReportsRan(t *testing.T) {
	r := newPlainRig(t)
	head := r.call("r1", "POST", "fees")
	head.ClaimStream = "claims-0"
	r.is.NoErr(r.run(t.Context(), head, "fee").err)
	out := r.refuse(head, r.e.load().GetEpoch())
	r.is.Equal(out.GetRun(), wire.RunState_RUN_RAN)
	r.is.True(out.GetKept())
	r.refused(r.run(t.Context(), head, "fee"), refusal.AlreadyRan, refusal.Ran)
	r.is.Equal(r.plain.Calls("POST", "/fees"), 1)
}

// The endpoint's process restarted since the attempt was sent and remembers
// nothing. It may not say "not run" of what its predecessor did, nor run an
// attempt that its predecessor refused.
func TestRestartedEndpointReportsUnknown(t *testing.T) {
	r := newPlainRig(t)
	head := r.call("r1", "POST", "fees")
	head.ClaimStream = "claims-0"
	head.GateEpoch = r.e.load().GetEpoch() + 1
	r.is.Equal(r.refuse(head, head.GetGateEpoch()).GetRun(), wire.RunState_RUN_UNKNOWN)
	r.refused(r.run(t.Context(), head, "fee"), refusal.Restarted, refusal.NotRun)
	r.is.Equal(r.plain.Calls("POST", "/fees"), 0)
}

// A service takes a call on a connection used before and closes it without an
// answer. HTTP clients like to send such calls again by themselves; a call that
// may not be repeated would then run twice.
func TestPlainCallIsSentOnce(t *testing.T) {
	r := newPlainRig(t)
	for _, method := range []string{"GET", "POST"} {
		r.plain.SetFaults(standin.PlainFaults{})
		r.is.NoErr(r.run(t.Context(), r.call("warm-"+method, method, "warm"), "").err)
		r.plain.SetFaults(standin.PlainFaults{Vanish: true})
		head := r.call("r-"+method, method, "fees")
		head.Headers = []*wire.Header{{Name: "Idempotency-Key", Value: "k"}}
		r.refused(r.run(t.Context(), head, ""), refusal.EngineFailed, refusal.Unknown)
		r.is.Equal(r.plain.Calls(method, "/fees"), 1)
	}
	r.idle()
}

// A service breaks off in the middle of its answer: the call ran, and its fee is
// due.
func TestInterruptedPlainAnswerIsBilled(t *testing.T) {
	r := newPlainRig(t)
	r.plain.SetFaults(standin.PlainFaults{BreakAfter: 4})
	g := r.run(t.Context(), r.call("r1", "PUT", "fees"), "long body")
	r.refused(g, refusal.EngineFailed, refusal.Ran)
	r.is.True(strings.HasPrefix(g.data, "PUT /fees\nlong"))
	r.is.Equal(g.last.GetStep().GetCost(), int64(5))
	r.is.True(!g.last.GetStep().GetWhole())
}

// Nothing listens where the service should be. No byte of the call left, so "not
// run" is true.
func TestPlainServiceUnreachable(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + lis.Addr().String()
	_ = lis.Close()
	r := newPlainRig(t)
	r.e.plain.CloseIdleConnections()
	s := r.rigAt(url)
	s.refused(s.run(t.Context(), s.call("r1", "POST", "fees"), "fee"), refusal.EngineUnreachable, refusal.NotRun)
}

func (r *rig) rigAt(url string) *rig {
	s := &rig{t: r.t, is: r.is, peers: r.peers}
	s.start(url, true)
	return s
}

// A second SIGTERM cuts off what is held: the caller is told that it ran.
func TestAbortReportsRan(t *testing.T) {
	r := newRig(t, 3)
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	answered := r.begin(t.Context(), r.head("r1"), chatBody)
	r.eventually("run begun", func() bool { return r.engine.Running() == 1 })
	r.e.Abort()
	r.refused(<-answered, refusal.Leaving, refusal.Ran)
	r.idle()
}

// A model calls a tool in the middle of its answer. The delta passes through as
// the engine wrote it.
func TestToolCallPassesThrough(t *testing.T) {
	r := newRig(t, 3)
	r.engine.SetFaults(standin.EngineFaults{ToolCall: true})
	g := r.run(t.Context(), r.head("r1"), chatBody)
	r.is.NoErr(g.err)
	r.is.Equal(g.text, standin.Token(0)+standin.Token(2))
	r.is.True(strings.Contains(g.data, `"tool_calls":[{"index":0,"id":"call-1"`))
	r.is.Equal(g.last.GetTotalPieces(), uint32(g.pieces))
}

// An engine goes on after the tokens that an earlier attempt delivered. The bill
// counts the answer as one.
func TestResumedRun(t *testing.T) {
	r := newRig(t, 5)
	head := r.head("r1")
	head.ResumeAfter, head.ResumeText = 2, standin.Text(2)
	g := r.run(t.Context(), head, chatBody)
	r.is.NoErr(g.err)
	r.is.Equal(standin.Text(2)+g.text, standin.Text(5))
	r.is.Equal(g.last.GetStep().GetUsage().GetOutputTokens(), int64(5))
}

// An engine refuses a request for its content. Other engines would do the same,
// so the caller gets the engine's word and nothing is tried again.
func TestEngineRejectsRequest(t *testing.T) {
	r := newRig(t, 5)
	r.engine.SetFaults(standin.EngineFaults{Reject: true})
	g := r.run(t.Context(), r.head("r1"), chatBody)
	r.refused(g, refusal.Malformed, refusal.NotRun)
	r.is.True(strings.Contains(g.refusal.Message(), "takes no such request"))
}

// A keyed chat is refused while the endpoint is full, and its engine breaks on the
// caller's second try. Each retry makes the same attempt, so an endpoint that
// remembered the failures as final would refuse that key for good.
func TestKeyedChatCanBeRetriedAfterFailures(t *testing.T) {
	r := newRig(t, 3)
	head := r.head("keyed")
	head.IdempotencyKey = "k"
	r.patch("[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 1\nfull-window = 1\nqueue = 1\nqueue-wait = \"1ms\"\n")
	head.Revision = 1
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	first := r.begin(r.t.Context(), r.head("other"), chatBody)
	r.eventually("place held", func() bool { return r.engine.Running() == 1 })
	r.refused(r.run(r.t.Context(), head, chatBody), refusal.Saturated, refusal.NotRun)
	r.engine.SetFaults(standin.EngineFaults{})
	r.is.Equal((<-first).text, standin.Text(3))
	r.engine.SetFaults(standin.EngineFaults{BreakAfter: 2})
	r.is.True(r.run(r.t.Context(), head, chatBody).refusal != nil)
	r.engine.SetFaults(standin.EngineFaults{})
	follow, err := r.gate().Kept(r.t.Context(), &wire.KeptRequest{Request: "keyed", Organisation: "desk"})
	r.is.NoErr(err)
	r.is.Equal(take(follow.Recv).refusal.Code(), refusal.NotKept) // half an answer is none
	g := r.run(r.t.Context(), head, chatBody)
	r.is.True(g.refusal == nil)
	r.is.Equal(g.text, standin.Text(3))
	again := r.run(r.t.Context(), head, chatBody)
	r.refused(again, refusal.AlreadyRan, refusal.Ran) // whole now, and kept
}
