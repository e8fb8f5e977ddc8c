package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// killedEndpoint makes the test binary run as an endpoint, which prints its address.
const killedEndpoint = "PARSLEYDEAL_TEST_ENDPOINT"

func TestMain(m *testing.M) {
	if os.Getenv(killedEndpoint) != "" {
		runKilledEndpoint()
		return
	}
	os.Exit(m.Run())
}

// runKilledEndpoint sends three events of an unframed stream on each connection, and then nothing.
func runKilledEndpoint() {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(lis.Addr())
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig.killed\r\nContent-Type: text/event-stream\r\n\r\n")
			for i := range 3 {
				_, _ = io.WriteString(conn, standin.Ending{}.Event(i+1, "r-1"))
			}
		}()
	}
}

// Guards against an unframed stream that counts as whole when the process of its endpoint is killed: the system then closes
// the connection as if the answer had ended.
func TestStreamOfKilledProcessIsNotWhole(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprint("resumable=", resumable), func(t *testing.T) { killDuringStream(t, resumable) })
	}
}

func killDuringStream(t *testing.T, resumable bool) {
	t.Helper()
	is := is.New(t)
	killed, err := standin.StartProcess(killedEndpoint)
	is.NoErr(err)
	time.AfterFunc(200*time.Millisecond, killed.Kill)
	// The other endpoint takes only what has begun elsewhere.
	other, err := standin.StartEndpoint("other", func(r *http.Request) standin.Reply {
		return standin.Reply{Events: continuationEvents, BreakAfter: -1, NotRun: r.Header.Get("Last-Event-Id") == ""}
	})
	is.NoErr(err)
	defer other.Close()
	view := viewOf(continuationRoute(catalog.Streaming, resumable), []fleet.Change{slotsOf("killed", killed.Address()), slotsOf("other", other.Address())})
	server := serverOn(clock.Boot(), view)
	server.cfg.Dialect = Dialect{Read: readEnding, Call: callEnding, Head: signedHead, SetRefusalHeaders: func(http.Header, string) {}}
	entry := httptest.NewServer(server)
	defer entry.Close()
	_, body, err := standin.Fetch(entry.Listener.Addr().String(), "1.1", http.MethodPost, "/x", http.Header{"Request-Id": {"r-1"}}, "")
	if resumable {
		is.NoErr(err)
		is.Equal(body, wholeStream("r-1"))
		return
	}
	is.True(err != nil)
}
