package relay

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/quarantine"
)

// An endpoint refuses a request, or fails it at its deadline, and answers others afterwards. Guards against
// a block that is cleared although no endpoint began to answer on it.
func TestOnlyAnswersClearBlocks(t *testing.T) {
	for name, h := range map[string]Head{
		"refused":        {Status: http.StatusServiceUnavailable, Signed: true, NotRun: true},
		"other endpoint": {Status: http.StatusMisdirectedRequest, WrongEndpoint: true},
		"failed":         {Status: http.StatusGatewayTimeout, Signed: true},
		"unsigned":       {Status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(!h.begins()) })
	}
	is.New(t).True(Head{Status: http.StatusOK, Signed: true}.begins())
}

// Other requests share all blocks but the last one, which belongs to one request or session.
func TestLastBlockIsNotShared(t *testing.T) {
	is := is.New(t)
	shared := func(blocks ...placement.Block) []string { return keysOf(&Request{Blocks: blocks}).Shared() }
	is.Equal(shared(placement.Block{ID: "a"}, placement.Block{ID: "b"}, placement.Block{ID: "own"}), []string{"a", "b"})
	is.Equal(len(shared(placement.Block{ID: "own"})), 0)
	is.Equal(len(shared()), 0)
}

// A caller sends a request again under another ID, with less time, resuming a stream. Guards against repeats that are
// not recognised, and against requests that are taken for others.
func TestRepeatsShareTheKeyOfTheRequest(t *testing.T) {
	is := is.New(t)
	request := func(change func(*Request)) string {
		r := &Request{ID: "1", Method: "POST", Target: "/a?b", Model: "m", CallerTimeout: 5, Key: "k", Blocks: []placement.Block{{ID: "x", Tokens: 7}}, body: []byte("body")}
		change(r)
		return keysOf(r).Request()
	}
	first := request(func(*Request) {})
	is.Equal(request(func(r *Request) { r.ID, r.CallerTimeout, r.Key, r.LastEventID, r.Resumes = "2", 4, "k2", "7", true }), first)
	for _, change := range []func(*Request){
		func(r *Request) { r.Method = "PUT" }, func(r *Request) { r.Target = "/a?c" }, func(r *Request) { r.Model = "n" },
		func(r *Request) { r.body = []byte("bodz") }, func(r *Request) { r.Blocks[0].Tokens = 8 }, func(r *Request) { r.Blocks = nil },
		func(r *Request) { r.Model, r.body = "mb", []byte("ody") },
	} {
		is.True(request(change) != first)
	}
}

// Evidence passes through the messages between entries unchanged.
func TestEvidenceOnTheWire(t *testing.T) {
	is := is.New(t)
	e := quarantine.Evidence{
		Crashes: []quarantine.ReportedCrash{{Incarnation: 1 << 63, Age: 20, Names: []quarantine.ReportedName{{Block: "a", BeganAge: 90}, {Block: "b", BeganAge: 100}}}},
		Blocks:  []quarantine.ReportedBlock{{Block: "c", Cleared: true, ClearedAge: 5 * clock.Second, SeenAge: 1}, {Block: "d", SeenAge: 7}},
	}
	is.Equal(evidenceFromWire(evidenceToWire(e)), e)
	is.True(evidenceToWire(quarantine.Evidence{}) == nil)
}
