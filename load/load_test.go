package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/standin"
)

func testPlan() Plan {
	p := DefaultPlan()
	p.Rate, p.Duration = 200, 5*clock.Second
	p.Entries = []string{"http://a", "http://b"}
	p.Organisations = []Organisation{{Name: "large", Key: "secret", Weight: 9}, {Name: "small", Weight: 1}}
	p.Routes = []Route{{Name: "quick", Weight: 3, Versions: []string{"small@1"}}}
	p.Services = []Service{{Name: "records", Method: "POST", Path: "fee", Weight: 1}}
	return p
}

func TestScheduleIsDeterministicForASeed(t *testing.T) {
	is := is.New(t)
	p := testPlan()
	a, b := schedule(&p), schedule(&p)
	is.Equal(a, b)
	large, services := 0, 0
	for _, q := range a {
		if q.organisation.Name == "large" {
			large++
		}
		if q.service != nil {
			services++
		}
	}
	n := float64(len(a))
	is.True(n > 900 && n < 1100)
	is.True(float64(large)/n > 0.85 && float64(large)/n < 0.95)
	is.True(float64(services)/n > 0.2 && float64(services)/n < 0.3)
	p.Seed = 2
	is.True(schedule(&p)[0].at != a[0].at)
}

// Most requests of a time go to one entry, and nothing else of the plan changes.
func TestCrowdGoesToOneEntry(t *testing.T) {
	is := is.New(t)
	p := testPlan()
	calm := schedule(&p)
	p.Crowds = []Crowd{{From: clock.Second, Until: 3 * clock.Second, Fraction: 0.8, Entry: 1}}
	first, all := 0, 0
	for i, q := range schedule(&p) {
		if q.at < time.Second || q.at >= 3*time.Second {
			is.Equal(q, calm[i])
			continue
		}
		all++
		first += 1 - q.entry
		q.entry = calm[i].entry
		is.Equal(q, calm[i])
	}
	is.True(all > 300 && first*100 > all*5 && first*100 < all*15) // a tenth go to the other one of two
}

// Guards against hiding a stall: if latency were measured from when a request was sent, a stall of
// one second would show only in the request in flight, although it delays every request that was
// due in that second.
func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(standin.NewEngine(0, 0, 2).Handler())
	defer srv.Close()
	p := testPlan()
	p.Entries = []string{srv.URL}
	r := &runner{plan: &p, http: srv.Client(), sessions: newSessions(), stats: newRunStats(&p)}
	q := &request{organisation: &p.Organisations[0], route: &p.Routes[0], session: -1, words: 1, nonce: "n1-0"}
	o := r.send(context.Background(), q, time.Now().Add(-time.Second), "")
	is.NoErr(o.err)
	is.True(o.firstToken >= time.Second)
	is.True(o.total >= o.firstToken)
}

// Guards against checks that cannot fail: each breach below must be counted for the guarantee that
// it breaks and for no other.
func TestStatsDetectEachBreach(t *testing.T) {
	p := testPlan()
	chat := request{number: 7, organisation: &p.Organisations[0], route: &p.Routes[0], session: 0, nonce: "n1-7"}
	fee := request{number: 8, organisation: &p.Organisations[0], service: &p.Services[0], session: -1, nonce: "n1-8", key: "k", doubled: true}
	good := func() outcome {
		return outcome{tries: 1, answer: client.Answer{Request: "r", Version: "small@1", Text: "n1-7 w1 w2 ", FinishReason: "stop"}}
	}
	served := func(run, nonce string) outcome {
		return outcome{tries: 1, run: run, body: "POST /fee\necho:" + nonce}
	}
	for _, c := range []struct {
		promise string
		breach  func(st *runStats)
	}{
		{"", func(st *runStats) { o := good(); st.add(&chat, &o) }},
		{"", func(st *runStats) {
			o := good()
			o.session, o.answer.Version, o.answer.Moved = sessionState{"t", "small@0"}, "small@1", "withdrawn"
			st.add(&chat, &o)
		}},
		{"", func(st *runStats) { st.checkRuns(&fee, []outcome{served("x", "n1-8"), served("x", "n1-8")}) }},
		{completeAnswers, func(st *runStats) { o := good(); o.answer.Text = "n1-7 w1 w3 "; st.add(&chat, &o) }},
		{completeAnswers, func(st *runStats) { o := good(); o.answer.FinishReason = ""; st.add(&chat, &o) }},
		{completeAnswers, func(st *runStats) { o := outcome{tries: 1, err: client.ErrBroken.New("cut")}; st.add(&chat, &o) }},
		{matchingAnswers, func(st *runStats) { o := good(); o.answer.Text = "n1-6 w1 "; st.add(&chat, &o) }},
		{matchingAnswers, func(st *runStats) { o := served("x", "n1-9"); st.add(&fee, &o) }},
		{allowedVersions, func(st *runStats) { o := good(); o.answer.Version = "large@1"; st.add(&chat, &o) }},
		{sameVersion, func(st *runStats) { o := good(); o.session = sessionState{"t", "small@0"}; st.add(&chat, &o) }},
		{runsOnce, func(st *runStats) { st.checkRuns(&fee, []outcome{served("x", "n1-8"), served("y", "n1-8")}) }},
		{runsOnce, func(st *runStats) {
			other := request{number: 9, service: &p.Services[0]}
			st.checkRuns(&fee, []outcome{served("x", "n1-8")})
			st.checkRuns(&other, []outcome{served("x", "n1-9")})
		}},
	} {
		st := newRunStats(&p)
		c.breach(st)
		for name, promise := range st.promises {
			if (promise.Broken > 0) != (name == c.promise) {
				t.Errorf("breach of %q: %s has %d breaches: %v", c.promise, name, promise.Broken, promise.Examples)
			}
		}
	}
}

// Guards against running a call twice. A call that is not safe to repeat was refused, or its
// connection broke: it may be sent again only if it is certain that it did not run.
func TestOnlyRetryableRequestsAreRetried(t *testing.T) {
	is := is.New(t)
	p := testPlan()
	unkeyed := &request{service: &p.Services[0]}
	keyed := &request{service: &p.Services[0], key: "k"}
	lost := refusal.New(refusal.EndpointLost, "").WithRun(refusal.Unknown)
	is.True(!retryable(unkeyed, lost))
	is.True(!retryable(unkeyed, client.ErrBroken.New("cut")))
	is.True(retryable(unkeyed, refusal.New(refusal.Saturated, "")))
	is.True(retryable(keyed, lost))
	_, err := net.Dial("tcp", "127.0.0.1:1")
	is.True(retryable(unkeyed, err))                                 // nothing was sent
	is.True(!retryable(unkeyed, refusal.New(refusal.Malformed, ""))) // it would be refused again
}

func TestCompareResults(t *testing.T) {
	is := is.New(t)
	p := testPlan()
	st := newRunStats(&p)
	for i := range 100 {
		o := outcome{tries: 1, firstToken: time.Duration(i+1) * time.Millisecond, answer: client.Answer{Request: fmt.Sprint(i), Version: "small@1", FinishReason: "stop"}}
		st.add(&request{number: i, organisation: &p.Organisations[0], route: &p.Routes[0], session: -1}, &o)
	}
	before := st.result("a", time.Second)
	for _, asJSON := range []bool{true, false} {
		path := filepath.Join(t.TempDir(), "result")
		is.NoErr(before.Save(path, asJSON))
		after, err := ReadResult(path)
		is.NoErr(err)
		is.Equal(after.FirstToken, before.FirstToken)
		after.FirstToken.P95 *= 2
		after.Promises[1].Broken = 1
		list, err := Compare(before, after, 0.1)
		is.NoErr(err)
		var worse []string
		for _, c := range list {
			if c.Worse {
				worse = append(worse, c.Name)
			}
		}
		is.Equal(worse, []string{"first token p95 µs", "broken: own"})
		after.Plan.Rate++
		_, err = Compare(before, after, 0.1)
		is.True(errorx.IsOfType(err, ErrInvalid))
	}
	is.Equal(before.Plan.Organisations[0].Key, "") // results contain no keys
	is.Equal(p.Organisations[0].Key, "secret")
}

// More requests become due than may be in flight. They must be counted as not sent and not be
// queued, since queueing would lower the rate.
func TestOpenRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusTeapot)
	}))
	defer srv.Close()
	p := testPlan()
	p.Entries, p.MaxOpen, p.Retries, p.Doubled = []string{srv.URL}, 3, 0, 0
	p.Rate, p.Duration = 1000, 50
	n := len(schedule(&p))
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	res, err := Run(t.Context(), &p, Config{HTTP: srv.Client()})
	is.NoErr(err)
	is.Equal(res.Sent+res.Unsent, int64(n))
	is.True(res.Unsent > 0)
}

func TestPlanCheckReportsEveryFault(t *testing.T) {
	is := is.New(t)
	p := Plan{Rate: -1, Arrival: "late"}
	err := p.Check()
	for _, part := range []string{"rate: is -1", `arrival: is "late"`, "entries: at least one", "organisations: at least one", "routes or services"} {
		is.True(err != nil && strings.Contains(err.Error(), part))
	}
}
