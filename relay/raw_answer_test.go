package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// rawScript is a request whose endpoints write their answers byte by byte, in turn.
type rawScript struct {
	Fault     string `toml:"fault"`
	Name      string `toml:"name"`
	Kind      string `toml:"kind"`
	Resumable bool   `toml:"resumable"`
	// Upload is the size of the request's body in MiB.
	Upload int           `toml:"upload"`
	Answer []standin.Raw `toml:"answer"`
	// Status is that of the caller's answer, Body its body, "broken" if it breaks off, and Sends the number of attempts.
	Status int    `toml:"status"`
	Body   string `toml:"body"`
	Sends  int    `toml:"sends"`
}

// play sends the request.
func (s rawScript) play(is *is.I) (status int, body string, sends int) {
	kinds := map[string]catalog.Kind{"": catalog.NonIdempotent, "idempotent": catalog.Idempotent, "streaming": catalog.Streaming}
	var changes []fleet.Change
	var next atomic.Int64
	for i := range 3 {
		name := fmt.Sprint("i-", i)
		e, err := standin.StartEndpoint(name, func(*http.Request) standin.Reply {
			n := min(int(next.Add(1)), len(s.Answer))
			return standin.Reply{BreakAfter: -1, Raw: &s.Answer[n-1]}
		})
		is.NoErr(err)
		defer e.Close()
		changes = append(changes, slotsOf(name, e.Address()))
	}
	server := serverOn(clock.Boot(), viewOf(continuationRoute(kinds[s.Kind], s.Resumable), changes))
	server.cfg.Dialect = Dialect{Read: readEnding, Call: callWithBody, Head: headOfRaw, SetRefusalHeaders: func(http.Header, string) {}}
	entry := serveCallers(server)
	defer entry.Close()
	upload := strings.Repeat("x", s.Upload<<20)
	h := http.Header{"Request-Id": {"r-1"}, "Content-Length": {fmt.Sprint(len(upload))}}
	status, body, err := standin.Fetch(entry.Listener.Addr().String(), "1.1", http.MethodPost, "/x", h, upload)
	if err != nil {
		body = "broken"
	}
	return status, body, int(next.Load())
}

func callWithBody(req *Request, params AttemptParams, body []byte) (c upstream.Call) {
	c = callEnding(req, params, body)
	c.Body, c.NewConnection = body, params.NewConnection
	return c
}

func headOfRaw(status int, h http.Header) Head {
	head := signedHead(status, h)
	head.Signed, head.NotRun = h.Get("Response-Signature") != "", h.Get("Not-Executed") != ""
	return head
}

// playRawAnswers plays the scripts of one fault.
func playRawAnswers(t *testing.T, fault string) {
	t.Helper()
	played := 0
	for _, s := range readScripts[rawScript](t, "raw-answers.toml") {
		if s.Fault != fault {
			continue
		}
		played++
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			status, body, sends := s.play(is)
			is.Equal(status, s.Status)
			is.Equal(sends, s.Sends)
			if s.Status == http.StatusOK {
				is.Equal(body, s.Body)
			}
		})
	}
	is.New(t).True(played > 0)
}

// Guards against a part of an unframed answer that is delivered as a whole one because its connection was reset.
func TestAnswerThatIsResetIsNotWhole(t *testing.T) { playRawAnswers(t, "reset") }

// Guards against whole answers that are taken for broken because they come early or are unusual.
func TestUnusualAnswersAreDelivered(t *testing.T) { playRawAnswers(t, "sound") }

// Guards against bytes that are no valid head and reach the caller as an answer, or as none at all.
func TestInvalidHeadIsNoAnswer(t *testing.T) { playRawAnswers(t, "head") }
