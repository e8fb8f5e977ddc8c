package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// standinRun is the header by which a stand-in service names each run.
const standinRun = "X-Standin-Run"

// outcome is what became of one request, as its caller sees it.
type outcome struct {
	answer client.Answer
	// first is the span from the due instant to the first token, and total to
	// the end.
	first, total time.Duration
	// gaps are the spans between tokens.
	gaps []time.Duration
	// tries counts how often the request was sent.
	tries int
	// cuts counts the tries whose connection broke after it had come about.
	cuts int
	// body and run belong to calls of services.
	body, run string
	// session is what was sent of a session, empty outside one.
	session kept
	// err is nil for a whole answer.
	err error
}

// send sends one request, again where that is allowed, until it has an answer
// or its time is over. The clock starts when the request was due, not when it
// was sent, so that a slow system cannot hide its delays by holding up the load.
func (r *runner) send(ctx context.Context, q *request, due time.Time, key string) (o outcome) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout.Duration())
	defer cancel()
	cuts := 0
	var heard error
	for try := 0; ; try++ {
		o = r.try(ctx, q, due, key, r.plan.Entries[(q.entry+try)%len(r.plan.Entries)])
		if o.err != nil && kindOf(o.err) == broken {
			cuts++
		}
		o.tries, o.cuts = try+1, cuts
		if !unreachable(o.err) {
			heard = o.err
		}
		if o.err == nil || try >= r.plan.Retries || !repeatable(q, o.err) || !rest(ctx, o.err) {
			// What an entry said tells more than that another one is gone.
			if heard != nil {
				o.err = heard
			}
			return o
		}
	}
}

func (r *runner) try(ctx context.Context, q *request, due time.Time, key, entry string) (o outcome) {
	c := &client.Caller{Base: entry, Key: q.organisation.Key, HTTP: r.http}
	if q.service != nil {
		return call(ctx, c, q, due, key)
	}
	return r.ask(ctx, c, q, due, key)
}

// repeatable reports whether a failed request may be sent again without doing
// its work twice: it provably did not run, or it may be repeated anyway.
func repeatable(q *request, err error) bool {
	if unreachable(err) {
		return true
	}
	if ref, ok := refusal.As(err); ok && ref.Run() == refusal.NotRun {
		return ref.Status() >= http.StatusTooManyRequests
	}
	return q.service == nil || q.service.Repeatable || q.key != ""
}

// unreachable reports whether no connection came about, as a balancer sees an
// entry that is gone.
func unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// rest waits as long as a refusal says and reports false when the time is over.
func rest(ctx context.Context, err error) bool {
	const least = 20 * clock.Millis(1)
	wait := least
	if ref, ok := refusal.As(err); ok {
		wait = max(ref.RetryAfter(), least)
	}
	return clock.Pause(ctx, wait)
}

// prompt has the wanted length and carries the nonce.
func prompt(q *request) string {
	return strings.Repeat("case ", q.words-1) + "echo:" + q.nonce
}

func chatBody(q *request, model string) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":%q}]}`, model, prompt(q))
}

// ask sends a chat request. It always streams, so that the first token is seen.
func (r *runner) ask(ctx context.Context, c *client.Caller, q *request, due time.Time, key string) (o outcome) {
	last := time.Time{}
	o.session = r.sessions.get(q)
	opts := client.Options{IdempotencyKey: key, Session: o.session.token}
	o.answer, o.err = c.Complete(ctx, chatBody(q, q.route.Name), opts, func(string) {
		now := time.Now()
		if last.IsZero() {
			o.first = now.Sub(due)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
	})
	o.total = time.Since(due)
	if o.err == nil {
		r.sessions.keep(q, o.answer.Session, o.answer.Version)
	}
	return o
}

// call sends a call of a service.
func call(ctx context.Context, c *client.Caller, q *request, due time.Time, key string) (o outcome) {
	body := prompt(q)
	path := "/v1/services/" + q.service.Name + "/" + q.service.Path
	resp, err := c.Do(ctx, q.service.Method, path, strings.NewReader(body), client.Options{IdempotencyKey: key})
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.first = time.Since(due)
	o.answer.Request = resp.Header.Get("Parsleydeal-Request")
	o.run = resp.Header.Get(standinRun)
	data, err := io.ReadAll(resp.Body)
	o.body, o.total = string(data), time.Since(due)
	if err != nil {
		o.err = client.ErrBroken.Wrap(err, "read answer")
	}
	return o
}

// broken is the kind of an answer or connection that ended early.
const broken = "broken"

// kindOf names an error for the count of outcomes.
func kindOf(err error) string {
	if ref, ok := refusal.As(err); ok {
		return string(ref.Code()) + " " + string(ref.Run())
	}
	if unreachable(err) {
		return "unreachable"
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	return broken
}
