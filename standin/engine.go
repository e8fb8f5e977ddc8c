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

// EngineFaults are the failures to simulate in an engine.
type EngineFaults struct {
	// BreakAfter breaks the connection of every stream after that many tokens; 0 breaks none.
	BreakAfter int
	// Refuse answers every request with 503.
	Refuse bool
	// Reject answers every request with 400.
	Reject bool
	// Stall sends no token until the fault is removed or the request is cancelled.
	Stall bool
	// ToolCall sends a tool call instead of the answer's second token.
	ToolCall bool
	// BreakVersion breaks the connection of every stream of that version at its first token.
	BreakVersion string
}

// Engine is the stand-in for a model engine.
type Engine struct {
	// firstDelay is the time before the first token, tokenInterval the time between tokens.
	firstDelay    clock.Millis
	tokenInterval clock.Millis
	// tokens is the number of tokens of every answer.
	tokens  int
	running atomic.Int64
	// maxRunning is the highest number of requests that ran at once.
	maxRunning atomic.Int64
	cancelled  atomic.Int64
	refused    atomic.Int64
	mu         sync.Mutex
	faults     EngineFaults
	// runs counts how often each request was started, by its ID.
	runs map[string]int
	// generation increases with each restart or crash.
	generation uint64
	orders     orders
	cold       coldStart
	caches     caches
}

// NewEngine returns an engine that sends its first token after firstDelay and a further one every
// tokenInterval. Each answer has the given number of tokens.
func NewEngine(firstDelay, tokenInterval clock.Millis, tokens int) *Engine {
	return &Engine{firstDelay: firstDelay, tokenInterval: tokenInterval, tokens: tokens, generation: 1, runs: make(map[string]int)}
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart simulates a restart: it increases the generation that the engine reports.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generation++
}

// Runs returns how often the request with an ID was started.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// Started returns the number of starts of all requests.
func (e *Engine) Started() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		n += runs
	}
	return n
}

// Running returns the number of requests that are running.
func (e *Engine) Running() int64 { return e.running.Load() }

// MaxRunning returns the highest number of requests that ran at once.
func (e *Engine) MaxRunning() int { return int(e.maxRunning.Load()) }

// Cancelled returns the number of requests that ended because the caller disconnected.
func (e *Engine) Cancelled() int { return int(e.cancelled.Load()) }

// Refused returns the number of requests that the Refuse fault answered with 503.
func (e *Engine) Refused() int { return int(e.refused.Load()) }

// Handler returns the engine's HTTP interface.
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

// engineRequest is a chat request with the additional fields with which a router resumes a broken
// answer.
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
	e.start(r.Header.Get("X-Request-Id"))
	defer e.running.Add(-1)
	generation, ok := e.admit()
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	delay := e.firstDelay
	if e.cached(r.Header.Get("X-Session"), req.Model) {
		delay /= cachedSpeedup
	}
	if !e.wait(r, delay) {
		return
	}
	if e.stream(w, r, &req) && e.recordServed(generation) {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) start(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[request]++
	n := e.running.Add(1)
	e.maxRunning.Store(max(e.maxRunning.Load(), n))
}

// wait waits for a duration, and longer while the engine stalls. It returns false when the request was
// cancelled.
func (e *Engine) wait(r *http.Request, duration clock.Millis) bool {
	for {
		select {
		case <-r.Context().Done():
			e.cancelled.Add(1)
			return false
		case <-time.After(duration.Duration()):
		}
		if !e.currentFaults().Stall {
			return true
		}
		duration = 1
	}
}

// stream sends the tokens of an answer; for a resumed request it starts at token ResumeAfter. It
// returns false when the request was cancelled.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *engineRequest) (complete bool) {
	for i := req.ResumeAfter; i < e.tokens; i++ {
		faults := e.currentFaults()
		if faults.BreakAfter > 0 && i == faults.BreakAfter || faults.BreakVersion == req.Model {
			panic(http.ErrAbortHandler)
		}
		if i > req.ResumeAfter && !e.wait(r, e.tokenInterval) {
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

// toolCallChunk is a chunk whose delta has a tool call instead of text.
const toolCallChunk = `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"call-1","function":{"name":"renewal","arguments":"{}"}}]},"finish_reason":null}]}`

// Token returns token i of an answer, counting from 0.
func Token(i int) string { return fmt.Sprintf("w%d ", i) }

// echoPrefix marks a word of the prompt that the engine returns as its first token, so that a
// caller can match an answer to its request.
const echoPrefix = "echo:"

func tokenOf(req *engineRequest, i int) string {
	if i > 0 || len(req.Messages) == 0 {
		return Token(i)
	}
	_, word, ok := strings.Cut(string(req.Messages[len(req.Messages)-1].Content), echoPrefix)
	if !ok {
		return Token(i)
	}
	word, _, _ = strings.Cut(strings.Trim(word, `"`), " ")
	return word + " "
}

// Text returns the complete text of an answer with that many tokens.
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

// orders holds the orders that an engine executed and the state that they set.
type orders struct {
	// managed is true after Manage was called. Before that, the engine reports no versions and
	// serves requests for any version.
	managed bool
	loaded  []string
	role    string
	// checksFence makes the engine refuse orders whose fence is lower than the highest fence so
	// far.
	checksFence bool
	fence       int64
	// executed lists the executed orders, oldest first.
	executed []EngineOrder
}

// EngineOrder is an order to an engine.
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

// Manage makes the engine report exactly these versions as loaded. If checksFence is set, the
// engine refuses orders whose fence is lower than the highest fence so far.
func (e *Engine) Manage(checksFence bool, versions ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = orders{managed: true, loaded: versions, checksFence: checksFence, fence: -1}
}

// Orders returns the executed orders, oldest first.
func (e *Engine) Orders() []EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.executed)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.checksFence && o.Fence < e.orders.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	e.orders.apply(o)
	w.WriteHeader(http.StatusAccepted)
}

func (o *orders) apply(order EngineOrder) {
	o.executed = append(o.executed, order)
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
