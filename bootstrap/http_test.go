package bootstrap

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/site"
)

// startedHandler returns the handler of an entry that has the state.
func startedHandler() *Handler {
	started := make(chan struct{})
	close(started)
	state := func(context.Context) (*wire.SiteState, error) { return &wire.SiteState{Packed: []byte("state")}, nil }
	return NewHandler(HandlerConfig{Clock: clock.Boot(), Started: started, State: state, Entries: state, OnAnswer: func(int, string) {}})
}

// Guards against a link that is filled with states when all entries start: beyond the first few, an
// entry refers the others to those that got one.
func TestEntriesAreReferredBeyondFirstTransfers(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(startedHandler())
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	c := NewClient(ClientConfig{Self: site.EntryAddress{Name: "e", Zone: "a"}, Clock: clock.Boot()})
	given, referrals := 0, 0
	for range transferBurst + 4 {
		a := c.ask(t.Context(), address, true)
		is.NoErr(a.err)
		if len(a.state.GetPacked()) > 0 {
			given++
			continue
		}
		referrals++
		is.True(len(a.state.GetEntries()) > 0)
	}
	is.True(given >= transferBurst && given <= transferBurst+2) // one more each 100 ms
	is.True(referrals >= 2)
}

// An entry whose state is too old, since it is cut off from the store, must not be named as one that
// gave it, nor those that asked it as ones that have it.
func TestEntriesWithoutStateAreNotReferredTo(t *testing.T) {
	is := is.New(t)
	h := startedHandler()
	h.cfg.State = func(context.Context) (*wire.SiteState, error) { return nil, errors.New("too old") }
	for range 3 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, statePath+"?name=e&address=10.0.0.1:1&zone=a", nil))
		is.Equal(w.Code, http.StatusServiceUnavailable)
	}
	is.Equal(len(h.desk.served), 0)
	transfers, referrals := h.Answers()
	is.Equal(transfers, 0)
	is.Equal(referrals, 3)
}

// Requests that no entry sends must be refused without any memory of them.
func TestInvalidRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	h := startedHandler()
	for target, want := range map[string]int{"/other": http.StatusNotFound, statePath + "?zone=" + strings.Repeat("z", 10<<10): http.StatusBadRequest} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
		is.Equal(w.Code, want)
	}
	is.Equal(len(h.desk.served), 0)
}

// Answers that are not a state must not be taken for one.
func TestInvalidAnswersAreRejected(t *testing.T) {
	for name, answer := range map[string]string{"not a message": "\xff\xff\xff", "empty": "", "endless": strings.Repeat("x", maxStateBytes+1)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
			defer srv.Close()
			c := NewClient(ClientConfig{Clock: clock.Boot()})
			a := c.ask(t.Context(), strings.TrimPrefix(srv.URL, "http://"), false)
			is.True(a.err != nil)
		})
	}
}
