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

// startDemo runs the demo's processes with its tables changed by replacements.
func startDemo(t *testing.T, replacements ...string) *local {
	return startSlowDemo(t, 0, replacements...)
}

// startSlowDemo is startDemo with a log that answers endpoints late.
func startSlowDemo(t *testing.T, late time.Duration, replacements ...string) *local {
	is := is.New(t)
	d := newLocal()
	d.log = log.New(io.Discard)
	log := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/streams/") {
			time.Sleep(late)
		}
		d.platform.Handler().ServeHTTP(w, r)
	}))
	d.adjust = func(s *settings.Settings) {
		if s.Endpoint.Pool != "" {
			s.Platform = log.URL
		}
	}
	is.NoErr(d.start(context.WithoutCancel(t.Context()), localShape{first: 20, gap: 5, tokens: 12}))
	t.Cleanup(func() { d.stop(); log.CloseClientConnections(); log.Close() })
	tables := strings.NewReplacer(replacements...).Replace(string(demoTables))
	_, err := provider.NewHTTP(d.base, http.DefaultClient).Log().Append(t.Context(), provider.ConfigStream, []byte(tables))
	is.NoErr(err)
	is.NoErr(d.waitReady(t.Context(), demoKey))
	return d
}

// answerTo sends one chat completion and returns the response's headers.
func (d *local) answerTo(ctx context.Context, route, session string) (h http.Header, status int, err error) {
	body := strings.NewReader(`{"model":"` + route + `","messages":[{"role":"user","content":"Is it due?"}]}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers[0]+"/v1/chat/completions", body)
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

// Endpoints read the log later than the entries, as on a busy machine. The demo said
// that it was ready once entries could name a route, and its first caller got 503:
// no endpoint had its tables yet, and each refused.
func TestDemoWaitsForEndpoints(t *testing.T) {
	is := is.New(t)
	d := startSlowDemo(t, 400*time.Millisecond)
	_, status, err := d.answerTo(t.Context(), "dossier", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

func billOf(t *testing.T, d *local, request string) (b *wire.Bill) {
	const patience = 30 * time.Second
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, data := range d.platform.Records(provider.BillStream) {
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

// The cheap version's answer is poor. The caller must see the dear version's
// answer alone, and pay for both in one bill.
func TestPoorFirstAnswerEscalatesUnderOneBill(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, "quality-target = 0.9", cascadeRoute)
	d.platform.SetQuality("large@1", 1)
	h, status, err := d.answerTo(t.Context(), "dossier", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(h.Get("Parsleydeal-Version"), "large@1")
	steps := billOf(t, d, h.Get("Parsleydeal-Request")).GetSteps()
	is.Equal(len(steps), 2)
	is.Equal(steps[0].GetVersion()+" "+steps[1].GetVersion(), "small@1 large@1")
	h, _, err = d.answerTo(t.Context(), "dossier", h.Get("Parsleydeal-Session"))
	is.NoErr(err)
	is.Equal(h.Get("Parsleydeal-Version"), "large@1") // the session stays there
	is.Equal(len(billOf(t, d, h.Get("Parsleydeal-Request")).GetSteps()), 1)
}

// The cheap version's answer is poor, and the dear version's engines take nothing.
// The caller gets no answer, but the first version ran and is billed: "not run"
// would be false, and a caller that believed it would not look for the bill.
func TestFailedEscalationReportsRan(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, "quality-target = 0.9", cascadeRoute)
	d.platform.SetQuality("small@1", 0)
	for name, e := range d.engines {
		if strings.HasSuffix(name, "-1") {
			e.SetFaults(standin.EngineFaults{Refuse: true})
		}
	}
	h, status, err := d.answerTo(t.Context(), "dossier", "")
	is.NoErr(err)
	is.True(status != http.StatusOK)
	is.Equal(h.Get("Parsleydeal-Run"), "ran")
	b := billOf(t, d, h.Get("Parsleydeal-Request"))
	is.Equal(len(b.GetSteps()), 1)
	is.Equal(b.GetSteps()[0].GetVersion(), "small@1")
}

// The cheap version's answer is good: it is delivered, and nothing else is paid.
func TestGoodFirstAnswerIsDelivered(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, "quality-target = 0.9", cascadeRoute)
	d.platform.SetQuality("small@1", 1)
	h, status, err := d.answerTo(t.Context(), "dossier", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(h.Get("Parsleydeal-Version"), "small@1")
	is.Equal(len(billOf(t, d, h.Get("Parsleydeal-Request")).GetSteps()), 1)
}

// A new version's streams break in every engine. Callers see errors until its
// hold is on the log; then all processes leave it alone and its sessions move,
// and the answer says so.
func TestFailingVersionIsHeldEverywhere(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, `[tables.versions."large@1"]`, `[tables.versions."small@2"]
input-cost = 100
output-cost = 300
quality = 0.72

[tables.versions."large@1"]`, `versions = ["small@1"]`, `versions = ["small@1", "small@2"]`,
		`model = "small", shares = { 1 = 1.0 }`, `model = "small", shares = { 1 = 0.5, 2 = 0.5 }`)
	d.platform.SetQuality("small@1", 1)
	d.platform.SetQuality("small@2", 1)
	session := ""
	for session == "" {
		h, _, err := d.answerTo(t.Context(), "quick", "")
		is.NoErr(err)
		if h.Get("Parsleydeal-Version") == "small@2" {
			session = h.Get("Parsleydeal-Session")
		}
	}
	for _, e := range d.engines {
		e.SetFaults(standin.EngineFaults{BreakVersion: "small@2"})
	}
	const most = 400
	for range most {
		_, _, err := d.answerTo(t.Context(), "quick", "")
		is.NoErr(err)
		if len(d.platform.Records(provider.HoldStream)) > 0 {
			break
		}
	}
	is.True(len(d.platform.Records(provider.HoldStream)) > 0)
	for range 20 {
		h, status, err := d.answerTo(t.Context(), "quick", session)
		is.NoErr(err)
		if status == http.StatusOK {
			is.Equal(h.Get("Parsleydeal-Version"), "small@1")
			is.Equal(h.Get("Parsleydeal-Session-Moved"), "held")
			return
		}
	}
	t.Fatal("the session of the held version was never moved")
}

// All engines refuse. Each request could try four times, and the engines would
// get four times the load while they are down. Callers must hear at once that
// nothing ran and when to come back, after no more tries than the budget allows.
func TestRefusingPoolGetsNoRetryStorm(t *testing.T) {
	is := is.New(t)
	d := startDemo(t)
	for _, e := range d.engines {
		e.SetFaults(standin.EngineFaults{Refuse: true})
	}
	const requests, burst = 60, 10
	for range requests {
		h, status, err := d.answerTo(t.Context(), "dossier", "")
		is.NoErr(err)
		is.True(status >= http.StatusInternalServerError || status == http.StatusTooManyRequests)
		is.Equal(h.Get("Parsleydeal-Run"), "not-run")
		is.True(h.Get("Retry-After") != "")
	}
	tries := 0
	for _, e := range d.engines {
		tries += e.Refused()
	}
	is.True(tries > 0)
	is.True(tries <= requests+requests/10+burst)
}
