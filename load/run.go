package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Config is what a run needs beside its plan.
type Config struct {
	// Build names the build under load, for the comparison of results.
	Build string
	HTTP  *http.Client
	// Unbilled returns which of the answered requests have no bill, once the
	// log had time to hold them; nil checks none.
	Unbilled func(ctx context.Context, requests []string) (missing []string, err error)
	// ProcessorSeconds returns the processor time that the entries have used so far; nil
	// measures none.
	ProcessorSeconds func(ctx context.Context) (seconds float64, err error)
}

// NewHTTP makes a client that opens as many connections as a plan needs.
func NewHTTP(p *Plan) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: p.MaxOpen, IdleConnTimeout: clock.Millis(clock.Minute).Duration()}}
}

// runner runs one plan.
type runner struct {
	plan     *Plan
	cfg      Config
	http     *http.Client
	sessions *sessions
	mu       sync.Mutex
	tally    *tally
}

// Run sends a plan's requests and returns what became of them. When the context
// ends no more are sent; those under way are waited for.
func Run(ctx context.Context, p *Plan, cfg Config) (res *Result, err error) {
	if err = p.Check(); err != nil {
		return nil, err
	}
	r := &runner{plan: p, cfg: cfg, http: cfg.HTTP, sessions: newSessions(), tally: newTally(p)}
	before, err := r.seconds(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	r.sendAll(ctx, start)
	took := time.Since(start)
	after, err := r.seconds(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	if err = r.checkBills(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	res = r.tally.result(cfg.Build, took)
	if used := after - before; used > 0 {
		res.CompletedPerCoreSecond = float64(res.Completed) / used
	}
	return res, nil
}

func (r *runner) seconds(ctx context.Context) (s float64, err error) {
	if r.cfg.ProcessorSeconds == nil {
		return 0, nil
	}
	return r.cfg.ProcessorSeconds(ctx)
}

// sendAll sends each request when it is due, whether or not earlier ones have
// ended.
func (r *runner) sendAll(ctx context.Context, start time.Time) {
	open := make(chan struct{}, r.plan.MaxOpen)
	var wg sync.WaitGroup
	defer wg.Wait()
	all := schedule(r.plan)
	for i := range all {
		q := &all[i]
		if !sleepUntil(ctx, start.Add(q.at)) {
			return
		}
		select {
		case open <- struct{}{}:
		default:
			r.add(func(t *tally) { t.unsent++ })
			continue
		}
		wg.Go(func() {
			defer func() { <-open }()
			r.one(q, start.Add(q.at))
		})
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// one sends a request, and a second time beside it if it is doubled. Requests
// under way when the run is stopped still end by their own timeout.
func (r *runner) one(q *request, due time.Time) {
	ctx := context.Background()
	sent := time.Now()
	outcomes := make([]outcome, 1)
	var second sync.WaitGroup
	if q.doubled {
		outcomes = append(outcomes, outcome{})
		second.Go(func() { outcomes[1] = r.send(ctx, q, due, q.key) })
	}
	outcomes[0] = r.send(ctx, q, due, q.key)
	second.Wait()
	r.add(func(t *tally) {
		for i := range outcomes {
			t.add(q, &outcomes[i])
		}
		t.once(q, outcomes)
		if q.route != nil && outcomes[0].err == nil && outcomes[0].tries == 1 {
			t.routed.record(outcomes[0].first - sent.Sub(due))
		}
	})
	if q.route != nil && r.plan.Direct != "" {
		r.direct(ctx, q)
	}
}

// direct sends the same request to an engine without the system between.
func (r *runner) direct(ctx context.Context, q *request) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout.Duration())
	defer cancel()
	c := &client.Caller{Base: r.plan.Direct, HTTP: r.http}
	start, first := time.Now(), time.Duration(0)
	_, err := c.Complete(ctx, chatBody(q, r.plan.DirectModel), client.Options{}, func(string) {
		if first == 0 {
			first = time.Since(start)
		}
	})
	if err == nil {
		r.add(func(t *tally) { t.direct.record(first) })
	}
}

func (r *runner) add(f func(t *tally)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.tally)
}

func (r *runner) checkBills(ctx context.Context) (err error) {
	if r.cfg.Unbilled == nil {
		return nil
	}
	missing, err := r.cfg.Unbilled(ctx, r.tally.answered)
	if err != nil {
		return err
	}
	p := r.tally.promise(billed)
	p.Checked = int64(len(r.tally.answered))
	for _, id := range missing {
		p.broke("request %s has no bill", id)
	}
	return nil
}
