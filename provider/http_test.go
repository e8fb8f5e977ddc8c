package provider

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// Guards against treating a lost reply to an append as a refusal, which would write the record twice: after
// a refusal the batcher appends the record again at once, after an unknown result it reads the log first.
func TestAppendErrorsDistinguishRefusedFromUnknown(t *testing.T) {
	is := is.New(t)
	cases := map[string]struct {
		handler http.HandlerFunc
		want    *errorx.Type
	}{
		"out of service":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, ErrUnavailable},
		"rate limit":         {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, ErrBusy},
		"expired":            {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) }, ErrExpired},
		"connection aborted": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrUnknown},
		"other status":       {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, ErrUnknown},
		"no offset":          {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, ErrUnknown},
		"invalid JSON":       {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, ErrUnknown},
	}
	for name, c := range cases {
		srv := httptest.NewServer(c.handler)
		_, err := NewHTTP(srv.URL, srv.Client()).Log().Append(t.Context(), "s", []byte("x"))
		srv.Close()
		if !errorx.IsOfType(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	_, err := NewHTTP(closed.URL, http.DefaultClient).Log().Append(t.Context(), "s", []byte("x"))
	is.True(errorx.IsOfType(err, ErrUnavailable)) // no server received it
}
