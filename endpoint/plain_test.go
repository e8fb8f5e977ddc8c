package endpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Guards against an answer without a length that counts as whole although its service ended in the middle of it.
func TestUnframedAnswerOfServiceThatEndedIsNotWhole(t *testing.T) {
	for _, ends := range []bool{false, true} {
		r := &rig{t: t, is: is.New(t), peers: peer.NewPool()}
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nanswer")
			if ends {
				_ = srv.Listener.Close()
			}
		}))
		t.Cleanup(srv.Close)
		r.start(srv.URL, true)
		res := r.run(t.Context(), r.serviceHead("r1", "POST", "fees"), "fee")
		if ends {
			r.expectRefusal(res, refusal.EngineFailed, refusal.Ran)
		} else {
			r.is.NoErr(res.err)
			r.is.Equal(res.data, "answer")
		}
	}
}

// Guards against a success without a body of which the service sent nothing but the head.
func TestAnswerOfServiceThatEndsAfterItsHeadIsNoSuccess(t *testing.T) {
	for _, x := range []struct {
		head  string
		whole bool
	}{
		{head: "HTTP/1.1 200 OK\r\n\r\n"},
		{head: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
		{head: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", whole: true},
		{head: "HTTP/1.1 204 No Content\r\n\r\n", whole: true},
		{head: "HTTP/1.1 404 Not Found\r\n\r\n", whole: true},
	} {
		r := &rig{t: t, is: is.New(t), peers: peer.NewPool()}
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, x.head)
		}))
		t.Cleanup(srv.Close)
		r.start(srv.URL, true)
		res := r.run(t.Context(), r.serviceHead("r1", "POST", "fees"), "fee")
		if x.whole {
			r.is.NoErr(res.err)
			r.is.Equal(res.data, "")
		} else {
			r.expectRefusal(res, refusal.EngineFailed, refusal.Ran)
		}
	}
}
