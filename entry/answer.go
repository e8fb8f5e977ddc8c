package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/clock"
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

// eventEnd closes an event of a stream.
const eventEnd = "\n\n"

// answer writes the pieces of one chat answer as JSON or as server-sent events.
type answer struct {
	w       *patientWriter
	req     *work
	created int64
	message chat.Assembly
	// started is true when the status has been sent and cannot change.
	started bool
	// spoken is true when an event of the stream has named the role.
	spoken bool
	reason string
	usage  chat.Usage
	// event is the buffer in which each event is made, and encode writes JSON
	// into it.
	event  bytes.Buffer
	encode *json.Encoder
	// head is what every chunk begins with, up to its choices.
	head []byte
}

func newAnswer(w http.ResponseWriter, req *work, patience clock.Millis) *answer {
	a := &answer{w: newPatientWriter(w, patience), req: req, created: time.Now().Unix()}
	a.encode = json.NewEncoder(&a.event)
	a.encode.SetEscapeHTML(false)
	return a
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

// take handles the next piece in order. Data holds a delta that text alone
// cannot stand for, such as a tool call; it passes through as the engine wrote
// it.
func (a *answer) take(p *wire.Piece) (err error) {
	if p.GetLast() {
		a.finish(p)
	}
	if !a.req.chat.Stream {
		return a.gather(p)
	}
	if !a.started {
		a.start("text/event-stream")
	}
	if len(p.GetData()) > 0 {
		a.spoken = true
		return a.chunk(func() { a.event.Write(p.GetData()) }, nil)
	}
	if p.GetText() == "" {
		return nil
	}
	return a.chunk(func() { a.textDelta(p.GetText()) }, nil)
}

func (a *answer) finish(p *wire.Piece) {
	a.reason = p.GetFinishReason()
	u := p.GetUsage()
	a.usage = chat.Usage{PromptTokens: u.GetInputTokens(), CompletionTokens: u.GetOutputTokens(), TotalTokens: u.GetInputTokens() + u.GetOutputTokens()}
	if u.GetCachedTokens() > 0 {
		a.usage.Details = &chat.UsageDetails{CachedTokens: u.GetCachedTokens()}
	}
}

func (a *answer) gather(p *wire.Piece) (err error) {
	if len(p.GetData()) == 0 {
		a.message.Text(p.GetText())
		return nil
	}
	if err = a.message.Delta(p.GetData()); err != nil {
		return refusal.New(refusal.EngineFailed, "a piece of the answer cannot be read").WithRun(refusal.Ran)
	}
	return nil
}

// drop forgets what was taken, for an answer that starts again.
func (a *answer) drop() { a.message.Reset() }

func (a *answer) textDelta(text string) {
	if !a.spoken {
		a.event.WriteString(`{"role":"assistant","content":`)
		a.spoken = true
	} else {
		a.event.WriteString(`{"content":`)
	}
	a.json(text)
	a.event.WriteByte('}')
}

// json writes a value into the event without the encoder's newline.
func (a *answer) json(v any) {
	_ = a.encode.Encode(v)
	a.event.Truncate(a.event.Len() - 1)
}

// chunk writes one chunk with a choice whose delta the function writes.
func (a *answer) chunk(delta func(), reason *string) (err error) {
	a.begin()
	a.event.WriteString(`"choices":[{"index":0,"delta":`)
	delta()
	a.event.WriteString(`,"finish_reason":`)
	a.json(reason)
	a.event.WriteString("}]}")
	return a.send()
}

// begin starts a chunk up to its choices.
func (a *answer) begin() {
	if a.head == nil {
		a.event.WriteString(`data: {"id":`)
		a.json(a.req.id)
		fmt.Fprintf(&a.event, `,"object":"chat.completion.chunk","created":%d,"model":`, a.created)
		a.json(a.req.version)
		a.event.WriteByte(',')
		a.head = bytes.Clone(a.event.Bytes())
		return
	}
	a.event.Write(a.head)
}

// send writes the event to the caller and empties the buffer.
func (a *answer) send() (err error) {
	a.event.WriteString(eventEnd)
	defer a.event.Reset()
	if _, err = a.w.Write(a.event.Bytes()); err != nil {
		return refusal.New(refusal.Cancelled, "caller went away").WithRun(refusal.Ran)
	}
	return a.w.Flush()
}

// end completes the response after the last piece.
func (a *answer) end() {
	if !a.req.chat.Stream {
		a.endJSON()
		return
	}
	if a.chunk(func() { a.event.WriteString("{}") }, &a.reason) != nil {
		return
	}
	if o := a.req.chat.StreamOptions; o != nil && o.IncludeUsage {
		a.begin()
		a.event.WriteString(`"choices":[],"usage":`)
		a.json(a.usage)
		a.event.WriteByte('}')
		_ = a.send()
	}
	a.event.WriteString("data: [DONE]")
	_ = a.send()
}

func (a *answer) endJSON() {
	a.start("application/json")
	_ = json.NewEncoder(a.w).Encode(chat.Answer{
		ID: a.req.id, Object: "chat.completion", Created: a.created, Model: a.req.version,
		Choices: []chat.AnswerChoice{{Message: a.message.Message(), FinishReason: a.reason}},
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
	a.event.Reset()
	a.event.WriteString("data: ")
	a.json(errorBody(refusal.Of(err)))
	_ = a.send()
}

func errorBody(r *refusal.Refusal) chat.ErrorBody {
	return chat.ErrorBody{Error: chat.Error{
		Message: r.Message(), Type: "parsleydeal", Code: string(r.Code()), Run: string(r.Run()), RetryAfterMillis: int64(r.RetryAfter()),
	}}
}

// writeRefusal writes a typed error before anything else was written.
func writeRefusal(w http.ResponseWriter, request string, err error) {
	r := refusal.Of(err)
	refusalHeaders(w.Header(), request, r)
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(errorBody(r))
}

func refusalHeaders(h http.Header, request string, r *refusal.Refusal) {
	h.Set("Content-Type", "application/json")
	h.Set(requestHeader, request)
	h.Set(runHeader, string(r.Run()))
	if r.RetryAfter() > 0 {
		const perSecond = 1000
		h.Set("Retry-After", strconv.FormatInt((int64(r.RetryAfter())+perSecond-1)/perSecond, 10))
	}
}
