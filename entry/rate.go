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
	// maxSample bounds the prompt and the answer of a sample, in bytes each; larger samples are not
	// rated.
	maxSample = 64 << 10
	// maxAwaited bounds the samples that wait for a rating. Beyond it the oldest is dropped and its
	// rating ignored.
	maxAwaited = 4096
	// maxUnsent bounds the samples that wait to be sent; further ones are dropped.
	maxUnsent          = 64
	ratingPollInterval = clock.Second
)

// raterClient sends samples to the platform's rater and passes its ratings, which arrive later, to
// the event loop. Requests never wait for it.
type raterClient struct {
	sampler *quality.Sampler
	unsent  chan provider.Sample
	mu      sync.Mutex
	// awaited holds, by request ID, the samples whose ratings have not arrived yet. order lists the
	// latest IDs, oldest first, including rated ones; it has at most maxAwaited.
	awaited map[string]event.Rated
	order   []string
	// next is the position from which to read the rater's list of ratings, or -1 before the first
	// poll.
	next int64
}

func newRaterClient() *raterClient {
	return &raterClient{sampler: quality.NewSampler(), unsent: make(chan provider.Sample, maxUnsent), awaited: make(map[string]event.Rated), next: -1}
}

// sampleText is the text of an answer that is to be rated.
type sampleText struct {
	text strings.Builder
	// tooLarge is true once the answer exceeds maxSample.
	tooLarge bool
}

func (s *sampleText) add(text string) {
	if s.text.Len()+len(text) > maxSample {
		s.tooLarge = true
		return
	}
	s.text.WriteString(text)
}

// submit queues a complete answer for rating without blocking.
func (r *raterClient) submit(req *requestState, s *sampleText) {
	if s.tooLarge || len(req.body) > maxSample {
		return
	}
	sample := provider.Sample{Request: req.id, Route: req.routeName, Version: req.version, Prompt: string(req.body), Answer: s.text.String()}
	r.addAwaited(req)
	select {
	case r.unsent <- sample:
	default:
	}
}

func (r *raterClient) addAwaited(req *requestState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited[req.id] = event.Rated{Route: req.routeName, Version: req.version, Organisation: req.organisation}
	r.order = append(r.order, req.id)
	if len(r.order) > maxAwaited {
		delete(r.awaited, r.order[0])
		r.order = r.order[1:]
	}
}

// resolve returns and removes the sample that a rating belongs to. Ok is false if the rating is
// repeated or belongs to another entry's sample.
func (r *raterClient) resolve(request string) (e event.Rated, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok = r.awaited[request]
	delete(r.awaited, request)
	return e, ok
}

// exchangeRatings sends samples and fetches ratings until the context ends.
func (e *Entry) exchangeRatings(ctx context.Context) {
	t := time.NewTicker(ratingPollInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-e.raterClient.unsent:
			if err := e.node.Rater().Submit(ctx, s); err != nil {
				e.node.Log().Debug("Sample could not be submitted", "request", s.Request, "error", err)
			}
		case <-t.C:
			e.fetchRatings(ctx)
		}
	}
}

func (e *Entry) fetchRatings(ctx context.Context) {
	r := e.raterClient
	ratings, next, err := e.node.Rater().Ratings(ctx, max(r.next, 0))
	if err != nil {
		e.node.Log().Debug("Ratings could not be read", "error", err)
		return
	}
	r.next = next
	for _, x := range ratings {
		ev, ok := r.resolve(x.Request)
		if !ok {
			continue
		}
		ev.Now = e.node.Clock().Now()
		ev.Score = min(max(x.Score, 0), 1)
		e.node.Loop().Offer(ev)
		e.burn.Add(burn.Key{Route: ev.Route, Version: ev.Version, Organisation: ev.Organisation}, burn.Counts{Ratings: 1, RatingSum: ev.Score})
	}
}
