package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/gen/completions"
	completionsserver "github.com/parsleydeal/parsleydeal/gen/http/completions/server"
	modelsserver "github.com/parsleydeal/parsleydeal/gen/http/models/server"
	"github.com/parsleydeal/parsleydeal/gen/models"
	goahttp "goa.design/goa/v3/http"
)

const (
	headerTimeout = 10 * clock.Second
	startingRetry = clock.Second
	leavingRetry  = 100 * clock.Millis(1)
	staleRetry    = 5 * clock.Second
)

// Handler returns the callers' interface.
func (e *Entry) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	completionsserver.New(completions.NewEndpoints(e), mux, dec, enc, nil, nil).Mount(mux)
	modelsserver.New(models.NewEndpoints(e), mux, dec, enc, nil, nil).Mount(mux)
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		mux.Handle(method, "/v1/services/{service}/{*path}", func(w http.ResponseWriter, r *http.Request) {
			vars := mux.Vars(r)
			e.service(w, r, vars["service"], vars["path"])
		})
	}
	return mux
}

// Create answers one chat completion. Goa hands the response writer to the
// returned body, which chooses between JSON and server-sent events.
func (e *Entry) Create(ctx context.Context, p *completions.CreatePayload, body io.ReadCloser) (out io.ReadCloser, err error) {
	return &completion{entry: e, ctx: ctx, payload: p, body: body}, nil
}

// List shows the routes that the caller's organisation may name as models.
func (e *Entry) List(_ context.Context, p *models.ListPayload) (out *models.ModelList, err error) {
	v, err := e.current()
	if err != nil {
		return nil, err
	}
	org, err := e.caller(v, value(p.Authorization))
	if err != nil {
		return nil, err
	}
	out = &models.ModelList{Object: "list", Data: []*models.Model{}}
	for _, name := range v.Tables().RoutesOf(org) {
		out.Data = append(out.Data, &models.Model{ID: name, Object: "model", OwnedBy: "parsleydeal"})
	}
	return out, nil
}

func value(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
