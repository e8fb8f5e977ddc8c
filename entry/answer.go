package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Names of the response headers.
const (
	requestHeader = "Parsleydeal-Request"
	versionHeader = "Parsleydeal-Version"
	sessionHeader = "Parsleydeal-Session"
	runHeader     = "Parsleydeal-Run"
	// movedHeader says why the session got another version.
	movedHeader = "Parsleydeal-Session-Moved"
)

// answer writes the pieces of one chat answer as JSON or as server-sent events.
type answer struct {
	w       http.ResponseWriter
	req     *work
	created int64
	text    strings.Builder
	// started is true when the status has been sent and cannot change.
	started bool
	reason  string
	usage   chat.Usage
}

func newAnswer(w http.ResponseWriter, req *work) *answer {
	return &answer{w: w, req: req, created: time.Now().Unix()}
}

func (a *answer) start(contentType string) {
	h := a.w.Header()
	h.Set("Content-Type", contentType)
	h.Set(requestHeader, a.req.id)
	h.Set(versionHeader, a.req.version)
	h.Set(runHeader, string(refusal.Ran))
	if a.req.moved != "" {
		h.Set(movedHeader, a.req.moved)
	}
	if a.req.token != "" {
		h.Set(sessionHeader, a.req.token)
	}
	a.w.WriteHeader(http.StatusOK)
	a.started = true
}

// take handles the next piece in order.
func (a *answer) take(p *wire.Piece) (err error) {
	if p.GetLast() {
		a.reason = p.GetFinishReason()
		u := p.GetUsage()
		a.usage = chat.Usage{PromptTokens: u.GetInputTokens(), CompletionTokens: u.GetOutputTokens(), TotalTokens: u.GetInputTokens() + u.GetOutputTokens()}
	}
	if !a.req.chat.Stream {
		a.text.WriteString(p.GetText())
		return nil
	}
	if !a.started {
		a.start("text/event-stream")
	}
	if p.GetText() == "" {
		return nil
	}
	return a.event(a.chunk(chat.Delta{Content: p.GetText()}, nil))
}

// drop forgets what was taken, for an answer that starts again.
func (a *answer) drop() { a.text.Reset() }

func (a *answer) chunk(d chat.Delta, reason *string) *chat.Chunk {
	return &chat.Chunk{
		ID: a.req.id, Object: "chat.completion.chunk", Created: a.created, Model: a.req.version,
		Choices: []chat.ChunkChoice{{Delta: d, FinishReason: reason}},
	}
}

func (a *answer) event(v any) (err error) {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.raw(string(data))
}

func (a *answer) raw(data string) (err error) {
	if _, err = a.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return refusal.New(refusal.Cancelled, "caller went away").WithRun(refusal.Ran)
	}
	return http.NewResponseController(a.w).Flush()
}

// end completes the response after the last piece.
func (a *answer) end() {
	if !a.req.chat.Stream {
		a.endJSON()
		return
	}
	_ = a.event(a.chunk(chat.Delta{}, &a.reason))
	if o := a.req.chat.StreamOptions; o != nil && o.IncludeUsage {
		c := a.chunk(chat.Delta{}, nil)
		c.Choices = []chat.ChunkChoice{}
		c.Usage = &a.usage
		_ = a.event(c)
	}
	_ = a.raw("[DONE]")
}

func (a *answer) endJSON() {
	a.start("application/json")
	_ = json.NewEncoder(a.w).Encode(chat.Answer{
		ID: a.req.id, Object: "chat.completion", Created: a.created, Model: a.req.version,
		Choices: []chat.AnswerChoice{{Message: chat.AnswerMessage{Role: "assistant", Content: a.text.String()}, FinishReason: a.reason}},
		Usage:   a.usage,
	})
}

// fail ends the response with a refusal. Once a stream has started the status
// is sent, so the refusal goes into an event and no end mark follows.
func (a *answer) fail(err error) {
	if !a.started {
		writeRefusal(a.w, a.req.id, err)
		return
	}
	r, ok := refusal.As(err)
	if !ok {
		r = refusal.New(refusal.Cancelled, err.Error()).WithRun(refusal.Unknown)
	}
	_ = a.event(errorBody(r))
}

func errorBody(r *refusal.Refusal) chat.ErrorBody {
	return chat.ErrorBody{Error: chat.Error{
		Message: r.Message(), Type: "parsleydeal", Code: string(r.Code()), Run: string(r.Run()), RetryAfterMillis: int64(r.RetryAfter()),
	}}
}

// writeRefusal writes a typed error before anything else was written.
func writeRefusal(w http.ResponseWriter, request string, err error) {
	r, ok := refusal.As(err)
	if !ok {
		r = refusal.New(refusal.EngineFailed, err.Error()).WithRun(refusal.Unknown)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(requestHeader, request)
	h.Set(runHeader, string(r.Run()))
	if r.RetryAfter() > 0 {
		const perSecond = 1000
		h.Set("Retry-After", strconv.FormatInt((int64(r.RetryAfter())+perSecond-1)/perSecond, 10))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(errorBody(r))
}
