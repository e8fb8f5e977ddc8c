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

// runHeader is the header in which a stand-in service sends a unique ID of each run.
const runHeader = "X-Standin-Run"

// outcome is the result of one request as its caller sees it.
type outcome struct {
	answer client.Answer
	// firstToken is the time from when the request was due to the first token, and total the time
	// from when it was due to the end of the answer.
	firstToken, total time.Duration
	// tokenGaps are the times between tokens.
	tokenGaps []time.Duration
	// tries is how often the request was sent.
	tries int
	// disconnects counts the tries whose connection broke after it was established.
	disconnects int
	// body and run are set for service calls: the response body and the ID of the run.
	body, run string
	// session is the session state that was sent; empty outside sessions.
	session sessionState
	// err is nil for a complete answer.
	err error
}

// send sends one request and retries it where that is allowed, until it has an answer, its retries
// are used up or its timeout ends. Durations count from when the request was due, not from when it
// was sent: otherwise a slow system would hide its delays by holding up the load.
func (r *runner) send(ctx context.Context, q *request, due time.Time, key string) (o outcome) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout.Duration())
	defer cancel()
	disconnects := 0
	var replyErr error
	for try := 0; ; try++ {
		o = r.try(ctx, q, due, key, r.plan.Entries[(q.entry+try)%len(r.plan.Entries)])
		if o.err != nil && kindOf(o.err) == kindBroken {
			disconnects++
		}
		o.tries, o.disconnects = try+1, disconnects
		if !unreachable(o.err) {
			replyErr = o.err
		}
		if o.err == nil || try >= r.plan.Retries || !retryable(q, o.err) || !waitToRetry(ctx, o.err) {
			// The reply of an entry explains the failure better than a connection that could not be
			// established.
			if replyErr != nil {
				o.err = replyErr
			}
			return o
		}
	}
}

func (r *runner) try(ctx context.Context, q *request, due time.Time, key, entry string) (o outcome) {
	c := &client.Caller{Base: entry, Key: q.organisation.Key, HTTP: r.http}
	if q.service != nil {
		return callService(ctx, c, q, due, key)
	}
	return r.sendChat(ctx, c, q, due, key)
}

// retryable reports whether a failed request may be sent again: it is certain that it did not run,
// or it is safe to repeat.
func retryable(q *request, err error) bool {
	if unreachable(err) {
		return true
	}
	if ref, ok := refusal.As(err); ok && ref.Run() == refusal.NotRun {
		return ref.Status() >= http.StatusTooManyRequests
	}
	return q.service == nil || q.service.Repeatable || q.key != ""
}

// unreachable reports whether no connection could be established, so that nothing was sent.
func unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// waitToRetry waits for the delay that a refusal states, but at least for minWait. It returns false
// when the context ended first.
func waitToRetry(ctx context.Context, err error) bool {
	const minWait = 20 * clock.Millis(1)
	wait := minWait
	if ref, ok := refusal.As(err); ok {
		wait = max(ref.RetryAfter(), minWait)
	}
	return clock.Pause(ctx, wait)
}

// prompt returns a prompt of q.words words that ends with the nonce for the stand-ins to echo.
func prompt(q *request) string {
	return strings.Repeat("case ", q.words-1) + "echo:" + q.nonce
}

func chatBody(q *request, model string) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":%q}]}`, model, prompt(q))
}

// sendChat sends a chat request and reads its answer. It requests a stream even if the route does
// not, so that the time of the first token can be measured.
func (r *runner) sendChat(ctx context.Context, c *client.Caller, q *request, due time.Time, key string) (o outcome) {
	last := time.Time{}
	o.session = r.sessions.get(q)
	opts := client.Options{IdempotencyKey: key, Session: o.session.token}
	o.answer, o.err = c.Complete(ctx, chatBody(q, q.route.Name), opts, func(string) {
		now := time.Now()
		if last.IsZero() {
			o.firstToken = now.Sub(due)
		} else {
			o.tokenGaps = append(o.tokenGaps, now.Sub(last))
		}
		last = now
	})
	o.total = time.Since(due)
	if o.err == nil {
		r.sessions.store(q, o.answer.Session, o.answer.Version)
	}
	return o
}

// callService calls a plain service.
func callService(ctx context.Context, c *client.Caller, q *request, due time.Time, key string) (o outcome) {
	body := prompt(q)
	path := "/v1/services/" + q.service.Name + "/" + q.service.Path
	resp, err := c.Do(ctx, q.service.Method, path, strings.NewReader(body), client.Options{IdempotencyKey: key})
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.firstToken = time.Since(due)
	o.answer.Request = resp.Header.Get("Parsleydeal-Request")
	o.run = resp.Header.Get(runHeader)
	data, err := io.ReadAll(resp.Body)
	o.body, o.total = string(data), time.Since(due)
	if err != nil {
		o.err = client.ErrBroken.Wrap(err, "read answer")
	}
	return o
}

// kindBroken is the kind of error for an answer or a connection that ended early.
const kindBroken = "broken"

// kindOf returns the name under which an error is counted in the outcomes.
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
	return kindBroken
}
