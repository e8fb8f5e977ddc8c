package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/clock"
)

// EngineFaults tells an engine how to fail.
type EngineFaults struct {
	// BreakAfter cuts every stream after so many tokens; 0 cuts none.
	BreakAfter int
	// Refuse answers every request with 503.
	Refuse bool
	// Reject answers every request with 400.
	Reject bool
	// Stall sends no token until it is lifted or the request is cancelled.
	Stall bool
	// ToolCall adds a tool call to the answer's second token.
	ToolCall bool
	// BreakVersion cuts every stream of one version at its first token.
	BreakVersion string
}

// Engine is the stand-in of a model engine.
type Engine struct {
	// first and gap are the spans before the first token and between tokens.
	first clock.Millis
	gap   clock.Millis
	// tokens is the length of every answer.
	tokens  int
	running atomic.Int64
	// most is the most requests held at once.
	most      atomic.Int64
	cancelled atomic.Int64
	refused   atomic.Int64
	mu        sync.Mutex
	faults    EngineFaults
	// runs counts how often each request was started.
	runs       map[string]int
	generation uint64
	orders     orders
	cold       coldStart
	caches     caches
}

// NewEngine makes an engine whose answers have so many tokens.
func NewEngine(first, gap clock.Millis, tokens int) *Engine {
	return &Engine{first: first, gap: gap, tokens: tokens, generation: 1, runs: make(map[string]int)}
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart gives the engine a new generation, as a restart does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generation++
}

// Runs returns how often a request was started.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// Started returns how many requests were started, each as often as it was.
func (e *Engine) Started() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		n += runs
	}
	return n
}

// Running returns how many requests the engine holds.
func (e *Engine) Running() int64 { return e.running.Load() }

// MaxRunning returns the most requests that the engine held at once.
func (e *Engine) MaxRunning() int { return int(e.most.Load()) }

// Cancelled returns how many requests ended because their caller went.
func (e *Engine) Cancelled() int { return int(e.cancelled.Load()) }

// Refused returns how many requests were answered with 503 by a fault.
func (e *Engine) Refused() int { return int(e.refused.Load()) }

// Handler returns the engine's interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /kv/{session}", e.exportCache)
	mux.HandleFunc("PUT /kv/{session}", e.importCache)
	return mux
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, engineLoad{
		Running: e.running.Load(), Generation: e.generation, Versions: e.orders.versions(), Role: e.orders.role,
	})
}

type engineLoad struct {
	Running    int64    `json:"running"`
	Queued     int      `json:"queued"`
	Generation uint64   `json:"generation"`
	Versions   []string `json:"versions"`
	Role       string   `json:"role"`
}

// engineRequest is a chat request with what an engine needs to resume.
type engineRequest struct {
	chat.Request
	ResumeAfter int    `json:"resume_after"`
	ResumeText  string `json:"resume_text"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req engineRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := e.currentFaults()
	if faults.Refuse {
		e.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.Reject {
		http.Error(w, "the engine takes no such request", http.StatusBadRequest)
		return
	}
	e.begin(r.Header.Get("X-Request-Id"))
	defer e.running.Add(-1)
	generation, ok := e.bear()
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := e.first
	if e.cached(r.Header.Get("X-Session"), req.Model) {
		first /= cachedPart
	}
	if !e.wait(r, first) {
		return
	}
	if e.stream(w, r, &req) && e.warm(generation) {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) begin(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[request]++
	n := e.running.Add(1)
	e.most.Store(max(e.most.Load(), n))
}

// wait passes a span, and longer while the engine stalls. It reports false when
// the request was cancelled.
func (e *Engine) wait(r *http.Request, span clock.Millis) bool {
	for {
		select {
		case <-r.Context().Done():
			e.cancelled.Add(1)
			return false
		case <-time.After(span.Duration()):
		}
		if !e.currentFaults().Stall {
			return true
		}
		span = 1
	}
}

// stream sends the tokens; a resumed request gets those after its text.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *engineRequest) (whole bool) {
	for i := req.ResumeAfter; i < e.tokens; i++ {
		faults := e.currentFaults()
		if faults.BreakAfter > 0 && i == faults.BreakAfter || faults.BreakVersion == req.Model {
			panic(http.ErrAbortHandler)
		}
		if i > req.ResumeAfter && !e.wait(r, e.gap) {
			return false
		}
		c := chunk(req.Model, tokenOf(req, i), nil)
		if faults.ToolCall && i == 1 {
			sendData(w, []byte(toolCallChunk))
			continue
		}
		sendChunk(w, c)
	}
	stop := "stop"
	last := chunk(req.Model, "", &stop)
	last.Usage = usage(&req.Request, e.tokens-req.ResumeAfter)
	sendChunk(w, last)
	return true
}

// toolCallChunk holds a delta that text alone cannot stand for.
const toolCallChunk = `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"call-1","function":{"name":"renewal","arguments":"{}"}}]},"finish_reason":null}]}`

// Token returns the token with a number of every answer.
func Token(i int) string { return fmt.Sprintf("w%d ", i) }

// echoMark stands in a prompt before a word that the engine gives back as its
// first token, so that a caller knows an answer for its own.
const echoMark = "echo:"

func tokenOf(req *engineRequest, i int) string {
	if i > 0 || len(req.Messages) == 0 {
		return Token(i)
	}
	_, word, ok := strings.Cut(string(req.Messages[len(req.Messages)-1].Content), echoMark)
	if !ok {
		return Token(i)
	}
	word, _, _ = strings.Cut(strings.Trim(word, `"`), " ")
	return word + " "
}

// Text returns the whole answer of so many tokens.
func Text(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(i))
	}
	return b.String()
}

func chunk(model, text string, reason *string) *chat.Chunk {
	return &chat.Chunk{
		Object: "chat.completion.chunk", Model: model,
		Choices: []chat.ChunkChoice{{Delta: chat.Delta{Content: text}, FinishReason: reason}},
	}
}

func usage(req *chat.Request, tokens int) *chat.Usage {
	prompt := int64(0)
	for _, m := range req.Messages {
		prompt += int64(len(strings.Fields(string(m.Content))))
	}
	return &chat.Usage{PromptTokens: prompt, CompletionTokens: int64(tokens), TotalTokens: prompt + int64(tokens)}
}

func sendChunk(w http.ResponseWriter, c *chat.Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	sendData(w, data)
}

func sendData(w http.ResponseWriter, data []byte) {
	fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// orders is what an engine was ordered to be.
type orders struct {
	// managed is true once the engine was told what to load; before, it answers
	// for any version.
	managed bool
	loaded  []string
	role    string
	// checks refuses orders whose fence is below the highest seen.
	checks bool
	fence  int64
	// done lists the orders carried out.
	done []EngineOrder
}

// EngineOrder is one order that an engine got.
type EngineOrder struct {
	Kind    string `json:"kind"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   int64  `json:"fence"`
}

func (o *orders) versions() []string {
	if !o.managed {
		return nil
	}
	return append([]string{}, o.loaded...)
}

// Manage makes the engine hold just these versions, and says whether it refuses
// orders with an old fencing number.
func (e *Engine) Manage(checks bool, versions ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = orders{managed: true, loaded: versions, checks: checks, fence: -1}
}

// Orders returns the orders carried out, in order.
func (e *Engine) Orders() []EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.done)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.checks && o.Fence < e.orders.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	e.orders.take(o)
	w.WriteHeader(http.StatusAccepted)
}

func (o *orders) take(order EngineOrder) {
	o.done = append(o.done, order)
	switch order.Kind {
	case "load":
		if !slices.Contains(o.loaded, order.Version) {
			o.loaded = append(o.loaded, order.Version)
		}
	case "unload":
		o.loaded = slices.DeleteFunc(o.loaded, func(v string) bool { return v == order.Version })
	case "role":
		o.role = order.Role
	}
}
