package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"
)

// continuationEvents is the number of events of the streams of these tests.
const continuationEvents = 6

// continuationScript is how one endpoint after another answers a request.
type continuationScript struct {
	Name      string               `toml:"name"`
	Kind      string               `toml:"kind"`
	Resumable bool                 `toml:"resumable"`
	Answer    []continuationAnswer `toml:"answer"`
	// Status is that of the caller's answer, Body its body and Sends the number of attempts. An answer that
	// breaks off has the body "broken".
	Status int    `toml:"status"`
	Body   string `toml:"body"`
	Sends  int    `toml:"sends"`
}

// continuationAnswer is one answer. A break-after of 0 is none.
type continuationAnswer struct {
	Status      int  `toml:"status"`
	Plain       bool `toml:"plain"`
	BreakAfter  int  `toml:"break-after"`
	CleanEnd    bool `toml:"clean-end"`
	NotRun      bool `toml:"not-run"`
	NoSignature bool `toml:"no-signature"`
	Confidence  int  `toml:"confidence"`
}

func (a continuationAnswer) reply() standin.Reply {
	r := standin.Reply{Status: a.Status, Events: continuationEvents, BreakAfter: a.BreakAfter, CleanEnd: a.CleanEnd, NotRun: a.NotRun, NoSignature: a.NoSignature, Confidence: a.Confidence}
	if a.BreakAfter == 0 {
		r.BreakAfter = -1
	}
	if a.Plain {
		r.Events = 0
	}
	return r
}

// readScripts reads the scripts of a file of test data.
func readScripts[S any](t *testing.T, file string) []S {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	is.New(t).NoErr(err)
	var scripts struct {
		Script []S `toml:"script"`
	}
	is.New(t).NoErr(toml.Unmarshal(text, &scripts))
	return scripts.Script
}

// wholeStream returns the body of a stream that is whole.
func wholeStream(id string) string {
	var b strings.Builder
	for i := 1; i <= continuationEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
	}
	return b.String()
}

// requestInTurn sends a request to a server whose endpoints answer in turn, and returns the answer. The body is
// "broken" if it breaks off.
func requestInTurn(is *is.I, route *catalog.Route, id string, answers []continuationAnswer) (status int, body string, sends int) {
	var changes []fleet.Change
	var next atomic.Int64
	for i := range 4 {
		name := fmt.Sprint("i-", i)
		e, err := standin.StartEndpoint(name, func(*http.Request) standin.Reply {
			n := min(int(next.Add(1)), len(answers))
			return answers[n-1].reply()
		})
		is.NoErr(err)
		defer e.Close()
		changes = append(changes, slotsOf(name, e.Address()))
	}
	server := serverOn(clock.Boot(), viewOf(route, changes))
	server.cfg.Dialect = Dialect{Read: readReplayRequest, Call: replayCall, Head: signedHead, SetRefusalHeaders: func(http.Header, string) {}}
	entry := httptest.NewServer(server)
	defer entry.Close()
	r, err := http.NewRequest(http.MethodPost, entry.URL+"/x", nil)
	is.NoErr(err)
	r.Header.Set("Request-Id", id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "broken", int(next.Load())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "broken", int(next.Load())
	}
	return resp.StatusCode, string(data), int(next.Load())
}

// signedHead decodes the head of an answer of a stand-in.
func signedHead(status int, h http.Header) Head {
	head := replayHead(status, h)
	head.Signed, head.Header = h.Get("Response-Signature") != "", h
	return head
}

// continuationRoute returns a route to the service app.
func continuationRoute(kind catalog.Kind, resumable bool) *catalog.Route {
	return &catalog.Route{
		Name: "r", Host: "h", Prefix: "/", Public: true, Kind: kind, Resumable: resumable, Timeout: 5000, LatencyTarget: 2000, MaxAttempts: 3,
		Models: []string{"small", "large"}, Targets: []catalog.Target{{Service: "app", Weight: 1}},
	}
}

// Guards against streams that end as complete with the text of another answer, and against promises of one endpoint that
// keep a request from the others.
func TestAnswersOfEndpointsInTurn(t *testing.T) {
	kinds := map[string]catalog.Kind{"streaming": catalog.Streaming, "idempotent": catalog.Idempotent, "non-idempotent": catalog.NonIdempotent}
	for _, s := range readScripts[continuationScript](t, "continuations.toml") {
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			status, body, sends := requestInTurn(is, continuationRoute(kinds[s.Kind], s.Resumable), "r-1", s.Answer)
			if s.Body == "whole" {
				s.Body = wholeStream("r-1")
			}
			is.Equal(status, s.Status)
			is.Equal(body, s.Body)
			is.Equal(sends, s.Sends)
		})
	}
}

// Guards against a stream that ends as complete and is not, whatever the endpoints answer at any attempt.
func TestStreamThatEndsAsCompleteIsWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		answers := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) continuationAnswer {
			return continuationAnswer{
				Status: rapid.SampledFrom([]int{200, 200, 200, 201, 202, 206, 301, 400, 404, 408, 409, 410, 416, 418, 421, 429, 499, 500, 503}).Draw(rt, "status"),
				Plain:  rapid.Bool().Draw(rt, "plain"), BreakAfter: rapid.IntRange(0, continuationEvents-1).Draw(rt, "break after"), CleanEnd: rapid.Bool().Draw(rt, "clean end"),
				NotRun: rapid.IntRange(0, 4).Draw(rt, "not run") == 0, NoSignature: rapid.IntRange(0, 4).Draw(rt, "no signature") == 0, Confidence: rapid.IntRange(0, 100).Draw(rt, "confidence"),
			}
		}), 1, 5).Draw(rt, "answers")
		resumable := rapid.Bool().Draw(rt, "resumable")
		status, body, _ := requestInTurn(is, continuationRoute(catalog.Streaming, resumable), "r-1", answers)
		first := answers[0]
		switch {
		case status != http.StatusOK, body == "broken", body == wholeStream("r-1"):
		case body == "answer of r-1" && first.Status == http.StatusOK:
			// Without a part of a stream, a plain answer is passed on as it is.
		default:
			rt.Fatalf("%+v: the answer ends as complete with %q", answers, body)
		}
	})
}
