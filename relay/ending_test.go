package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/upstream"
	"pgregory.net/rapid"
)

// endingScript is a request whose endpoints end and continue its stream in turn.
type endingScript struct {
	Fault     string           `toml:"fault"`
	Name      string           `toml:"name"`
	Kind      string           `toml:"kind"`
	Resumable bool             `toml:"resumable"`
	Protocol  string           `toml:"protocol"`
	Method    string           `toml:"method"`
	LastEvent int              `toml:"last-event"`
	Answer    []standin.Ending `toml:"answer"`
	// Status is that of the caller's answer. Body is "whole", "broken", "rest" for the events after LastEvent, or empty.
	Status int    `toml:"status"`
	Body   string `toml:"body"`
	Sends  int    `toml:"sends"`
}

// route returns the route of the request.
func (s endingScript) route() *catalog.Route {
	kinds := map[string]catalog.Kind{"": catalog.Streaming, "idempotent": catalog.Idempotent, "non-idempotent": catalog.NonIdempotent}
	return continuationRoute(kinds[s.Kind], s.Resumable)
}

// events returns the events after the given one.
func (s endingScript) events(after int) string {
	var b strings.Builder
	first := s.Answer[0]
	for i := after + 1; i <= continuationEvents; i++ {
		b.WriteString(standin.Ending{IDStep: first.IDStep, DataBytes: first.DataBytes, LateField: first.LateField}.Event(i, "r-1"))
	}
	return b.String()
}

// play sends the request, and returns what the caller gets and the number of attempts. The body of an answer that breaks
// off is "broken".
func (s endingScript) play(is *is.I) (status int, body string, sends int) {
	var changes []fleet.Change
	var next atomic.Int64
	for i := range 4 {
		name := fmt.Sprint("i-", i)
		e, err := standin.StartEndpoint(name, func(*http.Request) standin.Reply {
			n := min(int(next.Add(1)), len(s.Answer))
			return standin.Reply{Events: continuationEvents, Ending: &s.Answer[n-1]}
		})
		is.NoErr(err)
		defer e.Close()
		changes = append(changes, slotsOf(name, e.Address()))
	}
	server := serverOn(clock.Boot(), viewOf(s.route(), changes))
	server.cfg.Dialect = Dialect{Read: readEnding, Call: callEnding, Head: signedHead, SetRefusalHeaders: func(http.Header, string) {}}
	entry := serveCallers(server)
	defer entry.Close()
	protocol, method := "1.1", http.MethodPost
	if s.Protocol != "" {
		protocol = s.Protocol
	}
	if s.Method != "" {
		method = s.Method
	}
	h := http.Header{"Request-Id": {"r-1"}}
	if s.LastEvent > 0 {
		h.Set("Last-Event-Id", fmt.Sprint(s.LastEvent))
	}
	status, body, err := standin.Fetch(entry.Listener.Addr().String(), protocol, method, "/x", h, "")
	if err != nil {
		body = "broken"
	}
	return status, body, int(next.Load())
}

// serveCallers serves callers as an entry does.
func serveCallers(server *Server) (entry *httptest.Server) {
	entry = httptest.NewUnstartedServer(caller.ResetUnlessWhole(server))
	entry.Config.ConnContext = caller.WithConn
	entry.Start()
	return entry
}

func readEnding(r *http.Request) (*Request, error) {
	req, err := readReplayRequest(r)
	req.LastEventID = r.Header.Get("Last-Event-Id")
	req.Resumes = req.LastEventID != ""
	return req, err
}

func callEnding(req *Request, params AttemptParams, body []byte) (c upstream.Call) {
	c = replayCall(req, params, body)
	c.Method = req.Method
	return c
}

// isWhole reports whether a body has each event that the caller lacks, once, with IDs that increase if there are any.
func (s endingScript) isWhole(body string) bool {
	i, lastID := s.LastEvent, s.LastEvent
	for event := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		if event == "" {
			break
		}
		fields, data, _ := strings.Cut(event, "data: ")
		var id, piece int
		if _, err := fmt.Sscanf(data, "piece %d of r-1", &piece); err != nil {
			return false
		}
		if piece != i+1 {
			return false
		}
		if _, err := fmt.Sscanf(fields, "id: %d", &id); err == nil {
			if id <= lastID {
				return false
			}
			lastID = id
		}
		i = piece
	}
	return i == continuationEvents
}

// playEndings plays the scripts of one fault.
func playEndings(t *testing.T, fault string) {
	t.Helper()
	played := 0
	for _, s := range readScripts[endingScript](t, "endings.toml") {
		if s.Fault != fault {
			continue
		}
		played++
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			status, body, sends := s.play(is)
			is.Equal(status, s.Status)
			is.Equal(sends, s.Sends)
			switch {
			case s.Status != http.StatusOK:
			case s.Body == "whole":
				is.Equal(body, s.events(0))
			case s.Body == "rest":
				is.Equal(body, s.events(s.LastEvent))
			default:
				is.Equal(body, s.Body)
			}
		})
	}
	is.New(t).True(played > 0)
}

// Guards against answers that are taken for broken off and are whole.
func TestWholeAnswersAreDelivered(t *testing.T) { playEndings(t, "whole") }

// Guards against a success without a body of which the endpoint sent nothing but the head.
func TestAnswerThatEndsAfterItsHeadIsNoSuccess(t *testing.T) { playEndings(t, "no-events") }

// Guards against streams in which events come twice or are missing because a resumed one did not begin after the
// caller's last event.
func TestStreamGoesOnAfterItsLastEvent(t *testing.T) { playEndings(t, "joined") }

// Guards against a part of a long line that is taken for a line of its own.
func TestLongLinesOfEventsAreReadWhole(t *testing.T) { playEndings(t, "parts") }

// Guards against an unframed answer that counts as whole although its endpoint ended in the middle of it.
func TestUnframedAnswerOfEndpointThatEndedIsNotWhole(t *testing.T) { playEndings(t, "crash") }

// Guards against answers that break off and look whole to callers whose protocol has no end mark.
func TestBrokenAnswerLooksBrokenToAllCallers(t *testing.T) { playEndings(t, "old-callers") }

// Guards against a stream that ends as complete and is not, however its answers are framed, begin and end, and whatever
// the caller's protocol is.
func TestStreamOfAnyEndingsIsWholeOrBroken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string, of ...string) string { return rapid.SampledFrom(of).Draw(rt, label) }
		s := endingScript{
			Resumable: rapid.Bool().Draw(rt, "resumable"), Protocol: draw("protocol", standin.Protocols...),
			LastEvent: rapid.SampledFrom([]int{0, 0, 2, continuationEvents}).Draw(rt, "last event"),
		}
		if !s.Resumable {
			s.LastEvent = 0
		}
		size := rapid.SampledFrom([]int{0, 0, 4095, 4096, 9000}).Draw(rt, "data bytes")
		s.Answer = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) standin.Ending {
			a := standin.Ending{
				Framing: draw("framing", "chunks", "length", "none"), ClosesConnection: rapid.Bool().Draw(rt, "closes connection"),
				Start: draw("start", "", "", "from-start", "overlap", "gap"), NoIDs: rapid.IntRange(0, 4).Draw(rt, "no IDs") == 0, RepeatsID: rapid.IntRange(0, 4).Draw(rt, "repeats ID") == 0,
				DataBytes: size, At: draw("at", "", "", "in-head", "after-head", "in-event", "after-data", "between"), Sent: rapid.IntRange(0, continuationEvents).Draw(rt, "sent"),
				End: draw("end", "fin", "reset"),
			}
			// A mark of the framing, or the end of an unframed answer while its endpoint lives, is the endpoint's own claim.
			a.Crashes = a.Framing == "none" && a.End == "fin" && a.At != ""
			if a.At == "" {
				a.End = ""
			}
			// Nothing shows what is left out after an event that only the caller knows: IDs need not increase by one.
			if a.Start == "gap" && s.LastEvent > 0 {
				a.Start = ""
			}
			// Nor does it show an event that comes with the ID of another one which is left out.
			a.RepeatsID = a.RepeatsID && a.Start != "gap"
			return a
		}), 1, 5).Draw(rt, "answers")
		status, body, _ := s.play(is.New(t))
		if status == http.StatusOK && body != "broken" && !s.isWhole(body) {
			rt.Fatalf("%+v: the answer ends as complete with %q", s, body)
		}
	})
}
