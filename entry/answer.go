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

// Response header names.
const (
	requestHeader = "Parsleydeal-Request"
	versionHeader = "Parsleydeal-Version"
	sessionHeader = "Parsleydeal-Session"
	runHeader     = "Parsleydeal-Run"
	// movedHeader gives the reason why the session was moved to another version.
	movedHeader = "Parsleydeal-Session-Moved"
)

// eventEnd terminates a server-sent event.
const eventEnd = "\n\n"

// answerWriter writes the pieces of one chat answer as JSON or as server-sent events.
type answerWriter struct {
	w       *timeoutWriter
	req     *requestState
	created int64
	message chat.Assembly
	// headSent is true once the status has been sent and can no longer change.
	headSent bool
	// roleSent is true once an event of the stream has carried the role.
	roleSent     bool
	finishReason string
	usage        chat.Usage
	// event is the buffer in which each event is built; encoder writes JSON into it.
	event   bytes.Buffer
	encoder *json.Encoder
	// chunkHead is the start of every chunk, up to its choices. It is built once per answer.
	chunkHead []byte
}

func newAnswerWriter(w http.ResponseWriter, req *requestState, timeout clock.Millis) *answerWriter {
	a := &answerWriter{w: newTimeoutWriter(w, timeout), req: req, created: time.Now().Unix()}
	a.encoder = json.NewEncoder(&a.event)
	a.encoder.SetEscapeHTML(false)
	return a
}

func (a *answerWriter) writeHead(contentType string) {
	h := a.w.Header()
	h.Set("Content-Type", contentType)
	h.Set(requestHeader, a.req.id)
	h.Set(versionHeader, a.req.version)
	h.Set(runHeader, string(refusal.Ran))
	if a.req.sessionMoved != "" {
		h.Set(movedHeader, a.req.sessionMoved)
	}
	if a.req.token != "" {
		h.Set(sessionHeader, a.req.token)
	}
	a.w.WriteHeader(http.StatusOK)
	a.headSent = true
}

// writePiece handles the next piece in order. A piece's data holds a delta that plain text cannot
// represent, such as a tool call; it is passed through unchanged.
func (a *answerWriter) writePiece(p *wire.Piece) (err error) {
	if p.GetLast() {
		a.recordEnd(p)
	}
	if !a.req.chat.Stream {
		return a.assemble(p)
	}
	if !a.headSent {
		a.writeHead("text/event-stream")
	}
	if len(p.GetData()) > 0 {
		a.roleSent = true
		return a.writeChunk(func() { a.event.Write(p.GetData()) }, nil)
	}
	if p.GetText() == "" {
		return nil
	}
	return a.writeChunk(func() { a.writeTextDelta(p.GetText()) }, nil)
}

func (a *answerWriter) recordEnd(p *wire.Piece) {
	a.finishReason = p.GetFinishReason()
	u := p.GetUsage()
	a.usage = chat.Usage{PromptTokens: u.GetInputTokens(), CompletionTokens: u.GetOutputTokens(), TotalTokens: u.GetInputTokens() + u.GetOutputTokens()}
	if u.GetCachedTokens() > 0 {
		a.usage.Details = &chat.UsageDetails{CachedTokens: u.GetCachedTokens()}
	}
}

func (a *answerWriter) assemble(p *wire.Piece) (err error) {
	if len(p.GetData()) == 0 {
		a.message.AddText(p.GetText())
		return nil
	}
	if err = a.message.AddDelta(p.GetData()); err != nil {
		return refusal.New(refusal.EngineFailed, "a piece of the answer cannot be read").WithRun(refusal.Ran)
	}
	return nil
}

// reset discards the pieces received so far, for an answer that restarts.
func (a *answerWriter) reset() { a.message.Reset() }

func (a *answerWriter) writeTextDelta(text string) {
	if !a.roleSent {
		a.event.WriteString(`{"role":"assistant","content":`)
		a.roleSent = true
	} else {
		a.event.WriteString(`{"content":`)
	}
	a.encodeValue(text)
	a.event.WriteByte('}')
}

// encodeValue writes a value into the event without the encoder's trailing newline.
func (a *answerWriter) encodeValue(v any) {
	_ = a.encoder.Encode(v)
	a.event.Truncate(a.event.Len() - 1)
}

// writeChunk sends a chunk with one choice, whose delta is written by the given function.
func (a *answerWriter) writeChunk(delta func(), reason *string) (err error) {
	a.writeChunkHead()
	a.event.WriteString(`"choices":[{"index":0,"delta":`)
	delta()
	a.event.WriteString(`,"finish_reason":`)
	a.encodeValue(reason)
	a.event.WriteString("}]}")
	return a.flushEvent()
}

// writeChunkHead writes the start of a chunk, up to its choices.
func (a *answerWriter) writeChunkHead() {
	if a.chunkHead == nil {
		a.event.WriteString(`data: {"id":`)
		a.encodeValue(a.req.id)
		fmt.Fprintf(&a.event, `,"object":"chat.completion.chunk","created":%d,"model":`, a.created)
		a.encodeValue(a.req.version)
		a.event.WriteByte(',')
		a.chunkHead = bytes.Clone(a.event.Bytes())
		return
	}
	a.event.Write(a.chunkHead)
}

// flushEvent sends the event to the caller and empties the buffer.
func (a *answerWriter) flushEvent() (err error) {
	a.event.WriteString(eventEnd)
	defer a.event.Reset()
	if _, err = a.w.Write(a.event.Bytes()); err != nil {
		return refusal.New(refusal.Cancelled, "caller went away").WithRun(refusal.Ran)
	}
	return a.w.Flush()
}

// end completes the response after the last piece.
func (a *answerWriter) end() {
	if !a.req.chat.Stream {
		a.writeJSON()
		return
	}
	if a.writeChunk(func() { a.event.WriteString("{}") }, &a.finishReason) != nil {
		return
	}
	if o := a.req.chat.StreamOptions; o != nil && o.IncludeUsage {
		a.writeChunkHead()
		a.event.WriteString(`"choices":[],"usage":`)
		a.encodeValue(a.usage)
		a.event.WriteByte('}')
		_ = a.flushEvent()
	}
	a.event.WriteString("data: [DONE]")
	_ = a.flushEvent()
}

func (a *answerWriter) writeJSON() {
	a.writeHead("application/json")
	_ = json.NewEncoder(a.w).Encode(chat.Answer{
		ID: a.req.id, Object: "chat.completion", Created: a.created, Model: a.req.version,
		Choices: []chat.AnswerChoice{{Message: a.message.Message(), FinishReason: a.finishReason}},
		Usage:   a.usage,
	})
}

// fail ends the response with a refusal. In a stream that has started the status is already sent,
// so the refusal is sent as an event and the end marker is omitted.
func (a *answerWriter) fail(err error) {
	if !a.headSent {
		writeRefusal(a.w, a.req.id, err)
		return
	}
	a.event.Reset()
	a.event.WriteString("data: ")
	a.encodeValue(errorBody(refusal.Of(err)))
	_ = a.flushEvent()
}

func errorBody(r *refusal.Refusal) chat.ErrorBody {
	return chat.ErrorBody{Error: chat.Error{
		Message: r.Message(), Type: "parsleydeal", Code: string(r.Code()), Run: string(r.Run()), RetryAfterMillis: int64(r.RetryAfter()),
	}}
}

// writeRefusal writes a typed error as the response. Nothing may have been written before.
func writeRefusal(w http.ResponseWriter, request string, err error) {
	r := refusal.Of(err)
	setRefusalHeaders(w.Header(), request, r)
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(errorBody(r))
}

func setRefusalHeaders(h http.Header, request string, r *refusal.Refusal) {
	h.Set("Content-Type", "application/json")
	h.Set(requestHeader, request)
	h.Set(runHeader, string(r.Run()))
	if r.RetryAfter() > 0 {
		const perSecond = 1000
		h.Set("Retry-After", strconv.FormatInt((int64(r.RetryAfter())+perSecond-1)/perSecond, 10))
	}
}
