package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/chat"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/settings"
)

// exchange writes raw bytes to an entry and reads one response. It closes the connection only after
// that, so a request that is incomplete looks like one from a slow caller.
func (l *local) exchange(t *testing.T, raw string) (status int, h http.Header, e chat.Error) {
	t.Helper()
	conn, err := net.Dial("tcp", l.callers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(localTimeout.Duration()))
	if _, err = io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var body chat.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return resp.StatusCode, resp.Header, body.Error
}

func post(path, headers, body string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n%s", path, demoKey, length, headers, body)
}

// Callers send requests that are too large, too slow, malformed or unauthorised, or name something
// unknown. Each must get a typed error with the reason and "not-run", none may reach an engine or
// the plain service, and the entry must still serve the next request.
func TestInvalidRequestsGetTypedErrors(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokens: 1}, func(l *local) {
		l.adjust = func(s *settings.Settings) {
			s.Entry.MaxBody, s.Entry.MaxHeaders, s.Entry.BodyTimeout = 2000, 6000, 200*clock.Millis(1)
		}
	})
	const completions, good = "/v1/chat/completions", `{"model":"quick","messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name, raw string
		status    int
		code      string
	}{
		{"body too large", post(completions, "", strings.Repeat(" ", 2001), 2001), 413, "too-large"},
		{"headers too large", post(completions, "X-Long: "+strings.Repeat("x", 6001)+"\r\n", good, len(good)), 413, "too-large"},
		{"body too slow", post(completions, "", good[:10], len(good)), 408, "slow-body"},
		{"malformed JSON", post(completions, "", `{"model":`, 9), 400, "malformed"},
		{"unknown priority", post(completions, "Parsleydeal-Priority: top\r\n", good, len(good)), 400, "malformed"},
		{"key too long", post(completions, "Idempotency-Key: "+strings.Repeat("k", 256)+"\r\n", good, len(good)), 400, "malformed"},
		{"forged session", post(completions, "Parsleydeal-Session: demo.e30.AAAA\r\n", good, len(good)), 400, "session-rejected"},
		{"unknown path", post("/v1/embeddings", "", good, len(good)), 404, "no-interface"},
		{"unknown service", post("/v1/services/ledger/x", "", "", 0), 404, "no-route"},
		{"path outside the service", post("/v1/services/records/a/%2e%2e/b", "", "", 0), 400, "malformed"},
		{"wrong key", strings.Replace(post(completions, "", good, len(good)), demoKey, "wrong", 1), 401, "unauthorised"},
	} {
		status, h, e := l.exchange(t, c.raw)
		if status != c.status || e.Code != c.code || h.Get("Parsleydeal-Run") != "not-run" || e.Run != "not-run" || h.Get("Parsleydeal-Request") == "" {
			t.Errorf("%s: status %d, code %q, run %q, headers %v", c.name, status, e.Code, e.Run, h)
		}
	}
	for _, e := range l.engines {
		is.Equal(e.Started(), 0)
	}
	is.Equal(l.plain.Calls(http.MethodPost, "/b"), 0)
	status, _, _ := l.exchange(t, post(completions, "", good, len(good)))
	is.Equal(status, 200)
}

// A caller requests a long answer and never reads it. Unless the write timeout ends the request,
// the caller could occupy a slot of the endpoint forever.
func TestRequestOfStalledReaderEnds(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokenGap: 0, tokens: 5_000_000}, func(l *local) {
		l.adjust = func(s *settings.Settings) { s.Entry.WriteTimeout = 200 * clock.Millis(1) }
	})
	conn, err := net.Dial("tcp", l.callers[0])
	is.NoErr(err)
	defer conn.Close()
	const body = `{"model":"quick","stream":true,"messages":[{"role":"user","content":"x"}]}`
	_, err = io.WriteString(conn, post("/v1/chat/completions", "", body, len(body)))
	is.NoErr(err)
	running := func() (n int64) {
		for _, e := range l.engines {
			n += e.Running()
		}
		return n
	}
	is.NoErr(waitUntil(t.Context(), func() bool { return running() == 1 }))
	is.NoErr(waitUntil(t.Context(), func() bool { return running() == 0 }))
}

func TestServicesAcceptAnyMethodAndPath(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokens: 1})
	raw := fmt.Sprintf("PROPFIND /v1/services/records/a%%2Fb?depth=1 HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\n\r\n", demoKey)
	status, _, _ := l.exchange(t, raw)
	is.Equal(status, 200)
	is.Equal(l.plain.Calls("PROPFIND", "/a/b"), 1)
}

// An operator has disabled the only endpoint of a plain service, so calls are refused before their
// bodies are read. Unless the entry closes the connection, net/http panics on the next call over it,
// and that call gets no response.
func TestConnectionSurvivesCallRefusedBeforeBodyIsRead(t *testing.T) {
	is := is.New(t)
	l := startLocal(t, engineParams{tokens: 1})
	_, err := l.publishFile(writeFile(t, "kind = \"patch\"\n[tables.vms.records-0]\nstate = \"out\"\n"), "20s")
	is.NoErr(err)
	h := &http.Client{Transport: &http.Transport{}}
	for range 20 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.callers[0]+"/v1/services/records/x", strings.NewReader("renew"))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+demoKey)
		resp, err := h.Do(req)
		is.NoErr(err)
		is.Equal(resp.Header.Get("Parsleydeal-Run"), "not-run")
		_, _ = io.Copy(io.Discard, resp.Body)
		is.NoErr(resp.Body.Close())
	}
}
