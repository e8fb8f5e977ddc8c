package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
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
	// BreakVersion cuts every stream of one version at its first token.
	BreakVersion string
}

// Engine is the stand-in of a model engine.
type Engine struct {
	// first and gap are the spans before the first token and between tokens.
	first clock.Millis
	gap   clock.Millis
	// tokens is the length of every answer.
	tokens     int
	running    atomic.Int64
	generation uint64
	mu         sync.Mutex
	faults     EngineFaults
	// runs counts how often each request was started.
	runs map[string]int
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

// Runs returns how often a request was started.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// Running returns how many requests the engine is answering.
func (e *Engine) Running() int64 { return e.running.Load() }

// Started returns how many requests the engine has started.
func (e *Engine) Started() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		n += runs
	}
	return n
}

// Handler returns the engine's interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /load", e.load)
	return mux
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	reply(w, map[string]any{"running": e.running.Load(), "queued": 0, "generation": e.generation})
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req chat.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	if faults.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs[r.Header.Get("X-Request-Id")]++
	e.mu.Unlock()
	e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(e.first.Duration())
	for i := range e.tokens {
		if faults.BreakAfter > 0 && i == faults.BreakAfter || faults.BreakVersion == req.Model {
			panic(http.ErrAbortHandler)
		}
		if i > 0 {
			time.Sleep(e.gap.Duration())
		}
		if r.Context().Err() != nil {
			return
		}
		sendChunk(w, chunk(req.Model, fmt.Sprintf("w%d ", i), nil))
	}
	stop := "stop"
	last := chunk(req.Model, "", &stop)
	last.Usage = usage(&req, e.tokens)
	sendChunk(w, last)
	fmt.Fprint(w, "data: [DONE]\n\n")
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
	fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}
