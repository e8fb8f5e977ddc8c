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

// waitUntilIdle waits until no slot is in use and no call is in progress.
func (r *rig) waitUntilIdle() {
	r.t.Helper()
	r.eventually("slots and calls released", func() bool { return r.e.gate.Load().Held == 0 && r.e.active.Load() == 0 })
}

// A caller disconnects in the middle of a stream. The cancellation must reach the engine, and
// the slot must be released.
func TestCancelReachesEngine(t *testing.T) {
	r := newRig(t, 3)
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	ctx, cancel := context.WithCancel(t.Context())
	answer := r.runAsync(ctx, r.head("r1"), chatBody)
	r.eventually("run started", func() bool { return r.engine.Running() == 1 })
	cancel()
	<-answer
	r.eventually("engine sees the cancellation", func() bool { return r.engine.Cancelled() == 1 })
	r.waitUntilIdle()
}

// An entry disconnects in the middle of a request with an idempotency key. The run must continue,
// and an entry that requests the answer must get all of it. The endpoint must not bill the run,
// since another endpoint may answer the caller's retry, which is then billed.
func TestKeyedRunContinuesWithoutItsEntry(t *testing.T) {
	r := newRig(t, 5)
	r.e.orphan = func(*wire.Bill) { t.Error("billed a run that may not have been delivered") }
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	head := r.head("r1")
	head.IdempotencyKey = "k"
	r.runAndDisconnect(head, chatBody, func() bool { return r.engine.Running() == 1 })
	r.engine.SetFaults(standin.EngineFaults{})
	retained, err := r.gate().Kept(t.Context(), &wire.KeptRequest{IdempotencyKey: "k", Organisation: "desk"})
	r.is.NoErr(err)
	r.is.Equal(collect(retained.Recv).text, standin.Text(5))
	r.is.Equal(r.engine.Cancelled(), 0)
	r.waitUntilIdle()
}

// runAndDisconnect starts an attempt and closes its connection once started returns true.
func (r *rig) runAndDisconnect(head *wire.RunHead, body string, started func() bool) {
	r.t.Helper()
	ctx, cancel := context.WithCancel(r.t.Context())
	answer := r.runAsync(ctx, head, body)
	r.eventually("run started", started)
	cancel()
	<-answer
}

// An entry disconnects in the middle of a call that charges a fee. The fee is charged, so the
// step must be billed and the answer must be retained for the retry.
func TestCallOfDisconnectedEntryIsBilled(t *testing.T) {
	r := newPlainRig(t)
	orphans := make(chan *wire.Bill, 1)
	r.e.orphan = func(b *wire.Bill) { orphans <- b }
	r.plain.SetFaults(standin.PlainFaults{Stall: true})
	head := r.serviceHead("r1", "POST", "fees")
	head.IdempotencyKey = "k"
	r.runAndDisconnect(head, "fee", func() bool { return r.plain.Calls("POST", "/fees") == 1 })
	r.plain.SetFaults(standin.PlainFaults{})
	r.eventually("step billed", func() bool { return len(orphans) == 1 })
	b := <-orphans
	r.is.Equal(b.GetRequest(), "r1")
	r.is.Equal(b.GetRoute(), "services/records")
	r.is.Equal(b.GetSteps()[0].GetCost(), int64(5))
	retained, err := r.gate().Kept(t.Context(), &wire.KeptRequest{Request: "r1", Organisation: "desk"})
	r.is.NoErr(err)
	r.is.Equal(collect(retained.Recv).data, "POST /fees\nfee")
	r.waitUntilIdle()
}

// An entry that received the last piece has billed the step, so the endpoint must not bill it
// again.
func TestDeliveredAnswerIsNotBilledTwice(t *testing.T) {
	r := newPlainRig(t)
	orphaned := false
	r.e.orphan = func(*wire.Bill) { orphaned = true }
	r.is.Equal(r.run(t.Context(), r.serviceHead("r1", "POST", "fees"), "fee").data, "POST /fees\nfee")
	r.waitUntilIdle()
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

// A caller retries while the first attempt is still in transit. The entry asks the endpoint to
// refuse that attempt, and the endpoint replies that it has not run. The attempt must not run when
// it arrives later.
func TestRefusalBeforeAttemptPreventsRun(t *testing.T) {
	r := newPlainRig(t)
	head := r.serviceHead("r1", "POST", "fees")
	head.ClaimStream = "claims-0"
	epoch := r.e.load().GetEpoch()
	r.is.Equal(r.refuse(head, epoch).GetRun(), wire.RunState_RUN_NOT_RUN)
	r.expectRefusal(r.run(t.Context(), head, "fee"), refusal.Tombstoned, refusal.NotRun)
	r.is.Equal(r.plain.Calls("POST", "/fees"), 0)
}

// An endpoint is asked to refuse an attempt that already ran. If it reported not-run, the caller
// would retry and be charged the fee twice.
func TestRefusalAfterRunReportsRan(t *testing.T) {
	r := newPlainRig(t)
	head := r.serviceHead("r1", "POST", "fees")
	head.ClaimStream = "claims-0"
	r.is.NoErr(r.run(t.Context(), head, "fee").err)
	out := r.refuse(head, r.e.load().GetEpoch())
	r.is.Equal(out.GetRun(), wire.RunState_RUN_RAN)
	r.is.True(out.GetKept())
	r.expectRefusal(r.run(t.Context(), head, "fee"), refusal.AlreadyRan, refusal.Ran)
	r.is.Equal(r.plain.Calls("POST", "/fees"), 1)
}

// The endpoint restarted after the attempt was sent and lost its record of attempts. It must not
// report not-run for an attempt that the previous process may have run, nor run one that the
// previous process may have refused.
func TestRestartedEndpointReportsUnknown(t *testing.T) {
	r := newPlainRig(t)
	head := r.serviceHead("r1", "POST", "fees")
	head.ClaimStream = "claims-0"
	head.GateEpoch = r.e.load().GetEpoch() + 1
	r.is.Equal(r.refuse(head, head.GetGateEpoch()).GetRun(), wire.RunState_RUN_UNKNOWN)
	r.expectRefusal(r.run(t.Context(), head, "fee"), refusal.Restarted, refusal.NotRun)
	r.is.Equal(r.plain.Calls("POST", "/fees"), 0)
}

// A service accepts a call on a reused connection and closes it without a response. HTTP
// clients resend such calls automatically, which would run a non-repeatable call twice.
func TestPlainCallIsSentOnce(t *testing.T) {
	r := newPlainRig(t)
	for _, method := range []string{"GET", "POST"} {
		r.plain.SetFaults(standin.PlainFaults{})
		r.is.NoErr(r.run(t.Context(), r.serviceHead("warm-"+method, method, "warm"), "").err)
		r.plain.SetFaults(standin.PlainFaults{DropConnection: true})
		head := r.serviceHead("r-"+method, method, "fees")
		head.Headers = []*wire.Header{{Name: "Idempotency-Key", Value: "k"}}
		r.expectRefusal(r.run(t.Context(), head, ""), refusal.EngineFailed, refusal.Unknown)
		r.is.Equal(r.plain.Calls(method, "/fees"), 1)
	}
	r.waitUntilIdle()
}

// A service breaks the connection in the middle of its answer: the call ran, so its fee is
// due.
func TestInterruptedPlainAnswerIsBilled(t *testing.T) {
	r := newPlainRig(t)
	r.plain.SetFaults(standin.PlainFaults{BreakAfter: 4})
	res := r.run(t.Context(), r.serviceHead("r1", "PUT", "fees"), "long body")
	r.expectRefusal(res, refusal.EngineFailed, refusal.Ran)
	r.is.True(strings.HasPrefix(res.data, "PUT /fees\nlong"))
	r.is.Equal(res.last.GetStep().GetCost(), int64(5))
	r.is.True(!res.last.GetStep().GetWhole())
}

// No process listens at the service's address. No byte of the call was sent, so it is
// reported as not run.
func TestPlainServiceUnreachable(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + lis.Addr().String()
	_ = lis.Close()
	r := newPlainRig(t)
	r.e.plain.CloseIdleConnections()
	other := r.startPlainRigAt(url)
	other.expectRefusal(other.run(t.Context(), other.serviceHead("r1", "POST", "fees"), "fee"), refusal.EngineUnreachable, refusal.NotRun)
}

func (r *rig) startPlainRigAt(url string) *rig {
	other := &rig{t: r.t, is: r.is, peers: r.peers}
	other.start(url, true)
	return other
}

// A second SIGTERM cancels running attempts. The caller must be told that its request ran.
func TestAbortReportsRan(t *testing.T) {
	r := newRig(t, 3)
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	answer := r.runAsync(t.Context(), r.head("r1"), chatBody)
	r.eventually("run started", func() bool { return r.engine.Running() == 1 })
	r.e.Abort()
	r.expectRefusal(<-answer, refusal.Leaving, refusal.Ran)
	r.waitUntilIdle()
}

// A model calls a tool in the middle of its answer. The delta must be passed through
// unchanged.
func TestToolCallPassesThrough(t *testing.T) {
	r := newRig(t, 3)
	r.engine.SetFaults(standin.EngineFaults{ToolCall: true})
	res := r.run(t.Context(), r.head("r1"), chatBody)
	r.is.NoErr(res.err)
	r.is.Equal(res.text, standin.Token(0)+standin.Token(2))
	r.is.True(strings.Contains(res.data, `"tool_calls":[{"index":0,"id":"call-1"`))
	r.is.Equal(res.last.GetTotalPieces(), uint32(res.pieces))
}

// An engine resumes after the tokens that an earlier attempt delivered. The bill must count
// the tokens of the complete answer.
func TestResumedRun(t *testing.T) {
	r := newRig(t, 5)
	head := r.head("r1")
	head.ResumeAfter, head.ResumeText = 2, standin.Text(2)
	res := r.run(t.Context(), head, chatBody)
	r.is.NoErr(res.err)
	r.is.Equal(standin.Text(2)+res.text, standin.Text(5))
	r.is.Equal(res.last.GetStep().GetUsage().GetOutputTokens(), int64(5))
}

// An engine rejects a request for its content. Other engines would reject it as well, so the
// caller gets the engine's message and the request is not retried.
func TestEngineRejectsRequest(t *testing.T) {
	r := newRig(t, 5)
	r.engine.SetFaults(standin.EngineFaults{Reject: true})
	res := r.run(t.Context(), r.head("r1"), chatBody)
	r.expectRefusal(res, refusal.Malformed, refusal.NotRun)
	r.is.True(strings.Contains(res.refusal.Message(), "takes no such request"))
}

// A chat with an idempotency key is refused while the endpoint is full, and its engine fails on the
// caller's retry. Every retry has the same request ID and attempt number, so an endpoint that
// recorded these failures as final would refuse the key permanently.
func TestKeyedChatCanBeRetriedAfterFailures(t *testing.T) {
	r := newRig(t, 3)
	head := r.head("keyed")
	head.IdempotencyKey = "k"
	r.patch("[tables.pools.small]\nversions = [\"small@1\"]\ncold-window = 1\nfull-window = 1\nqueue = 1\nqueue-wait = \"1ms\"\n")
	head.Revision = 1
	r.engine.SetFaults(standin.EngineFaults{Stall: true})
	first := r.runAsync(r.t.Context(), r.head("other"), chatBody)
	r.eventually("slot in use", func() bool { return r.engine.Running() == 1 })
	r.expectRefusal(r.run(r.t.Context(), head, chatBody), refusal.Saturated, refusal.NotRun)
	r.engine.SetFaults(standin.EngineFaults{})
	r.is.Equal((<-first).text, standin.Text(3))
	r.engine.SetFaults(standin.EngineFaults{BreakAfter: 2})
	r.is.True(r.run(r.t.Context(), head, chatBody).refusal != nil)
	r.engine.SetFaults(standin.EngineFaults{})
	retained, err := r.gate().Kept(r.t.Context(), &wire.KeptRequest{Request: "keyed", Organisation: "desk"})
	r.is.NoErr(err)
	r.is.Equal(collect(retained.Recv).refusal.Code(), refusal.NotKept) // an incomplete answer is not retained
	res := r.run(r.t.Context(), head, chatBody)
	r.is.True(res.refusal == nil)
	r.is.Equal(res.text, standin.Text(3))
	again := r.run(r.t.Context(), head, chatBody)
	r.expectRefusal(again, refusal.AlreadyRan, refusal.Ran) // now complete and retained
}
