package cli

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/load"
	"github.com/parsleydeal/parsleydeal/settings"
)

// balancer imitates the platform's load balancer in front of the entries: it sends nothing to an
// entry that is not ready, and its idle timeout is shorter than Entry.LeaveDelay, the time for
// which a leaving entry still accepts connections. Otherwise a connection could be in the kernel's
// backlog when the entry closes its listener, and would be reset before the entry reads from it.
type balancer struct {
	next http.RoundTripper
	// operators maps the address for callers of each entry to its address for operators. It must be
	// complete before watch is called.
	operators map[string]string
	// notReady is the set of entries that are not ready, by their addresses for callers.
	notReady sync.Map
}

func (b *balancer) watch(t *testing.T) {
	for callers, operators := range b.operators {
		go func() {
			for t.Context().Err() == nil {
				resp, err := http.Get("http://" + operators + "/readyz")
				if err != nil || resp.StatusCode != http.StatusOK {
					b.notReady.Store(callers, true)
				}
				if err == nil {
					_ = resp.Body.Close()
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
}

func (b *balancer) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	if _, out := b.notReady.Load(r.URL.Host); out {
		return nil, &net.OpError{Op: "dial", Err: errors.New("entry is out")}
	}
	return b.next.RoundTrip(r)
}

// An entry and an endpoint are stopped while callers send at a constant rate. A planned stop must
// not interrupt any request: every caller gets its complete answer, and no checked guarantee is
// broken.
func TestPlannedStopsUnderLoadBreakNoPromise(t *testing.T) {
	is := is.New(t)
	balancer := &balancer{next: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 100 * time.Millisecond}, operators: map[string]string{}}
	l := startLocal(t, engineParams{firstToken: 5, tokenGap: 10, tokens: 30}, func(l *local) {
		l.adjust = func(s *settings.Settings) {
			s.Entry.LeaveDelay = 600
			balancer.operators[s.Entry.Callers] = s.Operators
		}
	})
	balancer.watch(t)
	p := load.DefaultPlan()
	p.Rate, p.Duration, p.Retries = 40, 2000, 10
	l.fillPlan(&p)
	time.AfterFunc(500*time.Millisecond, l.cancelByVM["entry-1"])
	time.AfterFunc(900*time.Millisecond, l.cancelByVM["endpoint-0-0"])
	cfg := load.Config{HTTP: &http.Client{Transport: balancer}}
	res, err := load.Run(t.Context(), &p, cfg)
	is.NoErr(err)
	if res.Broken() > 0 || res.Completed != res.Sent || res.Disconnects > 0 {
		var out bytes.Buffer
		is.NoErr(res.Print(&out))
		t.Fatal(out.String())
	}
	for _, promise := range res.Promises[:5] {
		is.True(promise.Checked > 0)
	}
}
