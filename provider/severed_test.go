package provider

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// All open connections to the platform go silent for good. Guards against more than one call that waits in vain.
func TestOneCallWaitsOnSeveredConnections(t *testing.T) {
	const connections, timeout = 4, 50 * time.Millisecond
	is := is.New(t)
	link := standin.NewLink()
	together := make(chan struct{})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-together
		_, _ = w.Write([]byte("{}"))
	})}
	go func() { _ = srv.Serve(link) }()
	defer link.Close()
	defer srv.Close()
	h := NewHTTP("http://platform", &http.Client{Transport: &http.Transport{DialContext: link.Dial, MaxIdleConnsPerHost: connections}})
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		var reply struct{}
		return h.call(ctx, http.MethodGet, "/x", nil, &reply)
	}
	var warm sync.WaitGroup
	for range connections {
		warm.Go(func() { _ = call(time.Second) })
	}
	time.Sleep(timeout)
	close(together)
	warm.Wait()
	link.Sever()
	is.True(call(timeout) != nil)
	for range connections {
		is.NoErr(call(timeout))
	}
}
