package bootstrap

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// startedHandler returns the handler of an entry that has the state.
func startedHandler() *Handler {
	started := make(chan struct{})
	close(started)
	state := func(context.Context) (*wire.SiteState, error) { return &wire.SiteState{Packed: []byte("state")}, nil }
	return &Handler{Clock: clock.Boot(), Started: started, State: state, Entries: state, OnAnswer: func(int, string) {}}
}

// Guards against a link that is filled with states when all entries start: beyond the first few, an
// entry refers the others to those that got one.
func TestEntriesAreReferredBeyondFirstTransfers(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(startedHandler())
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	c := NewClient(Client{Self: Entry{Name: "e", Zone: "a"}, Clock: clock.Boot()})
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

// Requests that no entry sends must be refused without any memory of them.
func TestInvalidRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	h := startedHandler()
	for target, want := range map[string]int{"/other": http.StatusNotFound, statePath + "?zone=" + strings.Repeat("z", 10<<10): http.StatusBadRequest} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
		is.Equal(w.Code, want)
	}
	is.Equal(h.desk, nil)
}

// Answers that are not a state must not be taken for one.
func TestInvalidAnswersAreRejected(t *testing.T) {
	for name, answer := range map[string]string{"not a message": "\xff\xff\xff", "empty": "", "endless": strings.Repeat("x", maxStateBytes+1)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
			defer srv.Close()
			c := NewClient(Client{Clock: clock.Boot()})
			a := c.ask(t.Context(), strings.TrimPrefix(srv.URL, "http://"), false)
			is.True(a.err != nil)
		})
	}
}
