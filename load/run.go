package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Config holds what a run needs besides its plan.
type Config struct {
	// Build identifies the build under test in the result.
	Build string
	HTTP  *http.Client
	// Unbilled returns those of the given answered requests that have no bill, after giving the
	// bills time to reach the log. If it is nil, bills are not checked.
	Unbilled func(ctx context.Context, requests []string) (missing []string, err error)
	// ProcessorSeconds returns the processor time that the entries have used so far. If it is nil,
	// processor time is not measured.
	ProcessorSeconds func(ctx context.Context) (seconds float64, err error)
}

// NewHTTP returns a client that keeps up to p.MaxOpen idle connections per host, one for each
// request that may be in flight.
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
	stats    *runStats
}

// Run sends a plan's requests and returns the result. When the context ends, Run sends no more
// requests and waits for those in flight. It returns ErrInvalid when the plan is not valid, and the
// errors of the functions in cfg.
func Run(ctx context.Context, p *Plan, cfg Config) (res *Result, err error) {
	if err = p.Check(); err != nil {
		return nil, err
	}
	r := &runner{plan: p, cfg: cfg, http: cfg.HTTP, sessions: newSessions(), stats: newRunStats(p)}
	before, err := r.processorSeconds(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	r.sendAll(ctx, start)
	took := time.Since(start)
	after, err := r.processorSeconds(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	if err = r.checkBills(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	res = r.stats.result(cfg.Build, took)
	if used := after - before; used > 0 {
		res.CompletedPerCoreSecond = float64(res.Completed) / used
	}
	return res, nil
}

func (r *runner) processorSeconds(ctx context.Context) (s float64, err error) {
	if r.cfg.ProcessorSeconds == nil {
		return 0, nil
	}
	return r.cfg.ProcessorSeconds(ctx)
}

// sendAll sends each request when it is due, whether or not earlier requests have ended.
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
			r.withStats(func(st *runStats) { st.unsent++ })
			continue
		}
		wg.Go(func() {
			defer func() { <-open }()
			r.sendDue(q, start.Add(q.at))
		})
	}
}

// sleepUntil sleeps until a time. It returns false when the context ended first.
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

// sendDue sends a request that is due, and a doubled one twice at the same time. It does not use
// the run's context: after a run was stopped, requests in flight continue until they end or time
// out.
func (r *runner) sendDue(q *request, due time.Time) {
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
	r.withStats(func(st *runStats) {
		for i := range outcomes {
			st.add(q, &outcomes[i])
		}
		st.checkRuns(q, outcomes)
		if q.route != nil && outcomes[0].err == nil && outcomes[0].tries == 1 {
			st.routed.record(outcomes[0].firstToken - sent.Sub(due))
		}
	})
	if q.route != nil && r.plan.Direct != "" {
		r.sendDirect(ctx, q)
	}
}

// sendDirect sends the same request straight to an engine, bypassing the system.
func (r *runner) sendDirect(ctx context.Context, q *request) {
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
		r.withStats(func(st *runStats) { st.direct.record(first) })
	}
}

func (r *runner) withStats(f func(st *runStats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.stats)
}

func (r *runner) checkBills(ctx context.Context) (err error) {
	if r.cfg.Unbilled == nil {
		return nil
	}
	missing, err := r.cfg.Unbilled(ctx, r.stats.answered)
	if err != nil {
		return err
	}
	p := r.stats.promise(billed)
	p.Checked = int64(len(r.stats.answered))
	for _, id := range missing {
		p.recordBreach("request %s has no bill", id)
	}
	return nil
}
