package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/google/uuid"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/gen/completions"
	completionsserver "github.com/parsleydeal/parsleydeal/gen/http/completions/server"
	modelsserver "github.com/parsleydeal/parsleydeal/gen/http/models/server"
	"github.com/parsleydeal/parsleydeal/gen/models"
	"github.com/parsleydeal/parsleydeal/refusal"
	goahttp "goa.design/goa/v3/http"
)

const (
	startingRetry = clock.Second
	leavingRetry  = 100 * clock.Millis(1)
	staleRetry    = 5 * clock.Second
)

// servicesPath is the path prefix of plain services.
const servicesPath = "/v1/services/"

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 255

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	completionsserver.New(completions.NewEndpoints(e), mux, goahttp.RequestDecoder, jsonEncoder, nil, formatError).Mount(mux)
	modelsserver.New(models.NewEndpoints(e), mux, goahttp.RequestDecoder, jsonEncoder, nil, formatError).Mount(mux)
	methods := map[string]string{"/v1/chat/completions": http.MethodPost, "/v1/models": http.MethodGet}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		if err := e.checkLimits(r); err != nil {
			writeRefusal(w, uuid.NewString(), err)
			return
		}
		if rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicesPath); ok {
			name, path, _ := strings.Cut(rest, "/")
			e.serveService(w, r, name, path)
			return
		}
		if methods[r.URL.Path] != r.Method {
			writeRefusal(w, uuid.NewString(), refusal.New(refusal.NoInterface, "no "+r.Method+" at this path"))
			return
		}
		ctx := context.WithValue(r.Context(), writerKey{}, w)
		mux.ServeHTTP(w, r.WithContext(ctx))
	})
}

// writerKey is the context key of a request's response writer, which goa passes neither to error
// formatters nor to handlers of streamed bodies.
type writerKey struct{}

func writerOf(ctx context.Context) http.ResponseWriter {
	w, _ := ctx.Value(writerKey{}).(http.ResponseWriter)
	return w
}

// checkLimits refuses oversized headers and keys before any of the request is used. If the headers
// are twice as large as allowed, the HTTP server closes the connection by itself, without a typed
// error.
func (e *Entry) checkLimits(r *http.Request) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if limit := e.node.Settings().Entry.MaxHeaders; size > limit {
		return refusal.New(refusal.TooLarge, fmt.Sprintf("headers have %d bytes, %d are allowed", size, limit))
	}
	if len(r.Header.Get("Idempotency-Key")) > maxKeyBytes {
		return refusal.New(refusal.Malformed, fmt.Sprintf("Idempotency-Key: at most %d bytes are allowed", maxKeyBytes))
	}
	return nil
}

// hasDotSegment reports whether a path has a segment "." or "..", with which a caller could reach
// paths outside the service. A path that cannot be decoded counts as one.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		plain, err := url.PathUnescape(segment)
		if err != nil || plain == "." || plain == ".." {
			return true
		}
	}
	return false
}

// jsonEncoder encodes responses as JSON, whatever the caller accepts.
func jsonEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}

// typedError adapts a refusal to goa's error interface.
type typedError struct {
	refusal *refusal.Refusal
}

// StatusCode returns the HTTP status.
func (t typedError) StatusCode() int { return t.refusal.Status() }

// MarshalJSON writes the typed error body.
func (t typedError) MarshalJSON() ([]byte, error) { return json.Marshal(errorBody(t.refusal)) }

// formatError converts goa's errors to typed refusals. All errors that reach it occur before
// anything is dispatched.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	r, ok := refusal.As(err)
	if !ok {
		r = refusal.New(refusal.Malformed, err.Error())
	}
	if w := writerOf(ctx); w != nil {
		setRefusalHeaders(w.Header(), uuid.NewString(), r)
	}
	return typedError{r}
}

// Create answers one chat completion. Goa passes the response writer to the returned body, which
// chooses between JSON and server-sent events.
func (e *Entry) Create(ctx context.Context, p *completions.CreatePayload, body io.ReadCloser) (out io.ReadCloser, err error) {
	return &completion{entry: e, ctx: ctx, payload: p, body: body}, nil
}

// List returns the routes that the caller's organisation may use as models.
func (e *Entry) List(_ context.Context, p *models.ListPayload) (out *models.ModelList, err error) {
	v, err := e.currentView()
	if err != nil {
		return nil, err
	}
	org, err := e.authenticate(v, stringOrEmpty(p.Authorization))
	if err != nil {
		return nil, err
	}
	out = &models.ModelList{Object: "list", Data: []*models.Model{}}
	for _, name := range v.Tables().RoutesOf(org) {
		out.Data = append(out.Data, &models.Model{ID: name, Object: "model", OwnedBy: "parsleydeal"})
	}
	return out, nil
}

func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
