package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform/standin"
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

// Guards against a part of an answer that counts as whole because its service reset the connection while the upload was
// being sent.
func TestAnswerOfServiceThatIsResetIsNotWhole(t *testing.T) {
	for _, x := range []struct {
		end   string
		whole bool
	}{{end: "reset"}, {end: "", whole: true}, {end: "half-close", whole: true}} {
		t.Run(x.end, func(t *testing.T) {
			r := &rig{t: t, is: is.New(t), peers: peer.NewPool()}
			service, err := standin.StartEndpoint("s", func(*http.Request) standin.Reply {
				return standin.Reply{Raw: &standin.Raw{Body: "answer", Early: true, End: x.end, EndDelay: 5}}
			})
			r.is.NoErr(err)
			t.Cleanup(service.Close)
			r.start("http://"+service.Address(), true)
			res := r.upload(t.Context(), r.serviceHead("r1", "POST", "fees"), 8)
			if x.whole {
				r.is.NoErr(res.err)
				r.is.Equal(res.data, "answer")
			} else {
				r.is.True(res.refusal != nil)
				r.is.Equal(res.refusal.Code(), refusal.EngineFailed)
				r.is.True(res.refusal.Run() != refusal.NotRun)
			}
		})
	}
}

// upload runs an attempt with a body of the given size in MiB.
func (r *rig) upload(ctx context.Context, head *wire.RunHead, size int) (res result) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := r.gate().Run(ctx)
	r.is.NoErr(err)
	part := make([]byte, 1<<20)
	var sending sync.WaitGroup
	sending.Go(func() {
		err := stream.Send(&wire.RunFrame{Head: head})
		for i := 0; i < size && err == nil; i++ {
			err = stream.Send(&wire.RunFrame{Body: part, Last: i == size-1})
		}
	})
	res = collect(stream.Recv)
	// The gate may have ended without reading the rest.
	cancel()
	sending.Wait()
	_ = stream.Close()
	return res
}

// Guards against bytes with an invalid head that are passed on as the answer of a service.
func TestInvalidHeadOfServiceIsNoAnswer(t *testing.T) {
	for _, a := range []standin.Raw{
		{StatusLine: "HTTP/1.1 000 Trouble", Fields: []string{"Content-Length: 2"}},
		{StatusLine: "HTTP/1.1 099 Trouble", Fields: []string{"Content-Length: 2"}},
		{StatusLine: "HTTP/1.1 600 Trouble", Fields: []string{"Content-Length: 2"}},
		{Fields: []string{"Bad Name: x", "Content-Length: 2"}},
		{Fields: []string{"Content-Length : 2"}},
		{Fields: []string{"Bad\x01Name: x", "Content-Length: 2"}},
	} {
		t.Run(a.StatusLine+strings.Join(a.Fields, ","), func(t *testing.T) {
			r := &rig{t: t, is: is.New(t), peers: peer.NewPool()}
			a.Body = "no"
			service, err := standin.StartEndpoint("s", func(*http.Request) standin.Reply { return standin.Reply{Raw: &a} })
			r.is.NoErr(err)
			t.Cleanup(service.Close)
			r.start("http://"+service.Address(), true)
			r.expectRefusal(r.run(t.Context(), r.serviceHead("r1", "POST", "fees"), "fee"), refusal.EngineFailed, refusal.Unknown)
		})
	}
}
