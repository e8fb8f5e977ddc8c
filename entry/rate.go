package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/burn"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/quality"
)

const (
	// maxSample bounds the prompt and the answer of a sample, in bytes; larger
	// ones are not rated.
	maxSample = 64 << 10
	// maxAwaited bounds the samples whose ratings are awaited; the oldest falls
	// out first and its rating is ignored.
	maxAwaited = 4096
	// maxUnsent bounds the samples that wait to be sent; one more is dropped.
	maxUnsent   = 64
	ratingsPoll = clock.Second
)

// raters hands samples to the platform's rater and brings its late ratings to
// control. Requests never wait for it.
type raters struct {
	sampler *quality.Sampler
	unsent  chan provider.Sample
	mu      sync.Mutex
	// awaited holds at most maxAwaited samples, named by order from the oldest.
	awaited map[string]event.Rated
	order   []string
	// next is the position in the rater's list, or -1 before the first poll.
	next int64
}

func newRaters() *raters {
	return &raters{sampler: quality.NewSampler(), unsent: make(chan provider.Sample, maxUnsent), awaited: make(map[string]event.Rated), next: -1}
}

// sampled is the text of an answer that shall be rated.
type sampled struct {
	text strings.Builder
	// over is true when the answer outgrew maxSample.
	over bool
}

func (s *sampled) add(text string) {
	if s.text.Len()+len(text) > maxSample {
		s.over = true
		return
	}
	s.text.WriteString(text)
}

// submit hands a whole answer over, without waiting.
func (r *raters) submit(req *work, s *sampled) {
	if s.over || len(req.body) > maxSample {
		return
	}
	sample := provider.Sample{Request: req.id, Route: req.routeName, Version: req.version, Prompt: string(req.body), Answer: s.text.String()}
	r.await(req)
	select {
	case r.unsent <- sample:
	default:
	}
}

func (r *raters) await(req *work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited[req.id] = event.Rated{Route: req.routeName, Version: req.version, Organisation: req.organisation}
	r.order = append(r.order, req.id)
	if len(r.order) > maxAwaited {
		delete(r.awaited, r.order[0])
		r.order = r.order[1:]
	}
}

// take finds the sample that a rating is for. A rating that comes twice, or is
// for another entry's sample, finds none.
func (r *raters) take(request string) (e event.Rated, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok = r.awaited[request]
	delete(r.awaited, request)
	return e, ok
}

// rate sends samples and fetches ratings until the context ends.
func (e *Entry) rate(ctx context.Context) {
	t := time.NewTicker(ratingsPoll.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-e.raters.unsent:
			if err := e.node.Rater().Submit(ctx, s); err != nil {
				e.node.Log().Debug("Sample could not be submitted", "request", s.Request, "error", err)
			}
		case <-t.C:
			e.fetchRatings(ctx)
		}
	}
}

func (e *Entry) fetchRatings(ctx context.Context) {
	r := e.raters
	ratings, next, err := e.node.Rater().Ratings(ctx, max(r.next, 0))
	if err != nil {
		e.node.Log().Debug("Ratings could not be read", "error", err)
		return
	}
	r.next = next
	for _, x := range ratings {
		ev, ok := r.take(x.Request)
		if !ok {
			continue
		}
		ev.Now = e.node.Clock().Now()
		ev.Score = min(max(x.Score, 0), 1)
		e.node.Loop().Offer(ev)
		e.burn.Add(burn.Key{Route: ev.Route, Version: ev.Version, Organisation: ev.Organisation}, burn.Tally{Ratings: 1, Score: ev.Score})
	}
}
