package cli

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/bill"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/standin"
)

// startDemo starts the demo's system. Replacements are pairs of strings: the first of each is
// replaced by the second in the demo's tables.
func startDemo(t *testing.T, replacements ...string) *local {
	return startDemoWithSlowLog(t, 0, replacements...)
}

// startDemoWithSlowLog is like startDemo, but the platform's log delays its replies to endpoints by
// logDelay.
func startDemoWithSlowLog(t *testing.T, logDelay time.Duration, replacements ...string) *local {
	is := is.New(t)
	l := newLocal()
	l.log = log.New(io.Discard)
	logServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/streams/") {
			time.Sleep(logDelay)
		}
		l.platform.Handler().ServeHTTP(w, r)
	}))
	l.adjust = func(s *settings.Settings) {
		if s.Endpoint.Pool != "" {
			s.Platform = logServer.URL
		}
	}
	is.NoErr(l.start(context.WithoutCancel(t.Context()), engineParams{firstToken: 20, tokenGap: 5, tokens: 12}))
	t.Cleanup(func() { l.stop(); logServer.CloseClientConnections(); logServer.Close() })
	tables := strings.NewReplacer(replacements...).Replace(string(demoTables))
	_, err := provider.NewHTTP(l.base, http.DefaultClient).Log().Append(t.Context(), provider.ConfigStream, []byte(tables))
	is.NoErr(err)
	is.NoErr(l.waitReady(t.Context(), demoKey))
	return l
}

// sendChat sends a chat completion to the first entry and returns the response's headers and
// status. An empty session starts a new one.
func (l *local) sendChat(ctx context.Context, route, session string) (h http.Header, status int, err error) {
	body := strings.NewReader(`{"model":"` + route + `","messages":[{"role":"user","content":"Is it due?"}]}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.callers[0]+"/v1/chat/completions", body)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	if session != "" {
		req.Header.Set("Parsleydeal-Session", session)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Header, resp.StatusCode, err
}

// Endpoints read the tables from the log later than the entries, as may happen on a busy machine,
// and refuse requests until then. If the demo waited only until the entries list a model, its first
// request would get 503.
func TestDemoWaitsForEndpoints(t *testing.T) {
	is := is.New(t)
	l := startDemoWithSlowLog(t, 400*time.Millisecond)
	_, status, err := l.sendChat(t.Context(), "dossier", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

func waitForBill(t *testing.T, l *local, request string) (b *wire.Bill) {
	const timeout = 30 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, data := range l.platform.Records(provider.BillStream) {
			bills, err := bill.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			for _, x := range bills {
				if x.GetRequest() == request {
					return x
				}
			}
		}
	}
	t.Fatalf("no bill of %s on the log", request)
	return nil
}

const cascadeRoute = "quality-target = 0.9\ncascade = true"

// The cheap version's answer is poor. The caller must get only the expensive version's answer, and
// one bill for both runs.
func TestPoorFirstAnswerEscalatesUnderOneBill(t *testing.T) {
	is := is.New(t)
	l := startDemo(t, "quality-target = 0.9", cascadeRoute)
	l.platform.SetQuality("large@1", 1)
	h, status, err := l.sendChat(t.Context(), "dossier", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(h.Get("Parsleydeal-Version"), "large@1")
	steps := waitForBill(t, l, h.Get("Parsleydeal-Request")).GetSteps()
	is.Equal(len(steps), 2)
	is.Equal(steps[0].GetVersion()+" "+steps[1].GetVersion(), "small@1 large@1")
	h, _, err = l.sendChat(t.Context(), "dossier", h.Get("Parsleydeal-Session"))
	is.NoErr(err)
	is.Equal(h.Get("Parsleydeal-Version"), "large@1") // the session keeps the version
	is.Equal(len(waitForBill(t, l, h.Get("Parsleydeal-Request")).GetSteps()), 1)
}

// The cheap version's answer is poor, and the engines of the expensive version refuse every
// request. The caller gets no answer, but the cheap version ran and is billed. The response must
// therefore not report "not-run", which tells the caller that nothing is billed.
func TestFailedEscalationReportsRan(t *testing.T) {
	is := is.New(t)
	l := startDemo(t, "quality-target = 0.9", cascadeRoute)
	l.platform.SetQuality("small@1", 0)
	for name, e := range l.engines {
		if strings.HasSuffix(name, "-1") {
			e.SetFaults(standin.EngineFaults{Refuse: true})
		}
	}
	h, status, err := l.sendChat(t.Context(), "dossier", "")
	is.NoErr(err)
	is.True(status != http.StatusOK)
	is.Equal(h.Get("Parsleydeal-Run"), "ran")
	b := waitForBill(t, l, h.Get("Parsleydeal-Request"))
	is.Equal(len(b.GetSteps()), 1)
	is.Equal(b.GetSteps()[0].GetVersion(), "small@1")
}

// The cheap version's answer is good: the caller gets it and pays for nothing else.
func TestGoodFirstAnswerIsDelivered(t *testing.T) {
	is := is.New(t)
	l := startDemo(t, "quality-target = 0.9", cascadeRoute)
	l.platform.SetQuality("small@1", 1)
	h, status, err := l.sendChat(t.Context(), "dossier", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(h.Get("Parsleydeal-Version"), "small@1")
	is.Equal(len(waitForBill(t, l, h.Get("Parsleydeal-Request")).GetSteps()), 1)
}

// Every engine breaks the streams of a new version. Callers get errors until a hold of the version,
// which stops its use, is on the log. From then on no process selects the version, its sessions
// move to another version, and the response reports the move.
func TestFailingVersionIsHeldEverywhere(t *testing.T) {
	is := is.New(t)
	l := startDemo(t, `[tables.versions."large@1"]`, `[tables.versions."small@2"]
input-cost = 100
output-cost = 300
quality = 0.72

[tables.versions."large@1"]`, `versions = ["small@1"]`, `versions = ["small@1", "small@2"]`,
		`model = "small", shares = { 1 = 1.0 }`, `model = "small", shares = { 1 = 0.5, 2 = 0.5 }`)
	l.platform.SetQuality("small@1", 1)
	l.platform.SetQuality("small@2", 1)
	session := ""
	for session == "" {
		h, _, err := l.sendChat(t.Context(), "quick", "")
		is.NoErr(err)
		if h.Get("Parsleydeal-Version") == "small@2" {
			session = h.Get("Parsleydeal-Session")
		}
	}
	for _, e := range l.engines {
		e.SetFaults(standin.EngineFaults{BreakVersion: "small@2"})
	}
	const maxRequests = 400
	for range maxRequests {
		_, _, err := l.sendChat(t.Context(), "quick", "")
		is.NoErr(err)
		if len(l.platform.Records(provider.HoldStream)) > 0 {
			break
		}
	}
	is.True(len(l.platform.Records(provider.HoldStream)) > 0)
	for range 20 {
		h, status, err := l.sendChat(t.Context(), "quick", session)
		is.NoErr(err)
		if status == http.StatusOK {
			is.Equal(h.Get("Parsleydeal-Version"), "small@1")
			is.Equal(h.Get("Parsleydeal-Session-Moved"), "held")
			return
		}
	}
	t.Fatal("the session of the held version was never moved")
}

// All engines refuse. With up to four attempts per request, the engines would get four times the
// load while they are down. The attempts must stay within the retry budget, and the responses must
// say at once that nothing ran and when to retry.
func TestRefusingPoolGetsNoRetryStorm(t *testing.T) {
	is := is.New(t)
	l := startDemo(t)
	for _, e := range l.engines {
		e.SetFaults(standin.EngineFaults{Refuse: true})
	}
	const requests, burst = 60, 10
	for range requests {
		h, status, err := l.sendChat(t.Context(), "dossier", "")
		is.NoErr(err)
		is.True(status >= http.StatusInternalServerError || status == http.StatusTooManyRequests)
		is.Equal(h.Get("Parsleydeal-Run"), "not-run")
		is.True(h.Get("Retry-After") != "")
	}
	attempts := 0
	for _, e := range l.engines {
		attempts += e.Refused()
	}
	is.True(attempts > 0)
	is.True(attempts <= requests+requests/10+burst)
}
