package provider

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// An append fails. What the journal does next hangs on whether the record may
// stand on the log: "refused" sends it again at once, "unknown" reads the log
// first. Taking a lost answer for a refusal would write records twice.
func TestAppendErrorsDistinguishRefusedFromUnknown(t *testing.T) {
	is := is.New(t)
	answers := map[string]struct {
		handler http.HandlerFunc
		want    *errorx.Type
	}{
		"out of service": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, ErrUnavailable},
		"rate limit":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, ErrBusy},
		"expired":        {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) }, ErrExpired},
		"broken off":     {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrUnknown},
		"other status":   {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, ErrUnknown},
		"no offset":      {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, ErrUnknown},
		"no JSON":        {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, ErrUnknown},
	}
	for name, a := range answers {
		srv := httptest.NewServer(a.handler)
		_, err := NewHTTP(srv.URL, srv.Client()).Log().Append(t.Context(), "s", []byte("x"))
		srv.Close()
		if !errorx.IsOfType(err, a.want) {
			t.Errorf("%s: got %v, want %v", name, err, a.want)
		}
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	_, err := NewHTTP(gone.URL, http.DefaultClient).Log().Append(t.Context(), "s", []byte("x"))
	is.True(errorx.IsOfType(err, ErrUnavailable)) // nobody heard it
}
