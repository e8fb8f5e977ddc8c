package provider

import (
	"net/http"
	"net/http/httptest"
	"strings"
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

// Guards against a list of VMs that is not followed because another writer left an odd entry in it.
func TestOddEntriesOfTheVMListAreLeftOut(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"id":"vm-1"},{"id":7},{"id":1e400},[[[]]],{"id":"vm-2","address":"10.0.0.1:70000"},"vm-3",{"address":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `},{"id":"vm-4"}]`))
	}))
	defer srv.Close()
	h := NewHTTP(srv.URL, srv.Client())
	var invalid int
	h.OnInvalidVMs(func(n int, _ error) { invalid = n })
	vms, err := h.VMList().List(t.Context())
	is.NoErr(err)
	is.Equal(len(vms), 3)
	is.Equal(vms[2].ID, "vm-4")
	is.Equal(invalid, 5)
}
