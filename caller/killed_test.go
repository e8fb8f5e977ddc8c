package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// killedServer makes the test binary run as a server, which prints its address and never ends its answers.
const killedServer = "PARSLEYDEAL_TEST_SERVER"

func TestMain(m *testing.M) {
	if os.Getenv(killedServer) == "" {
		os.Exit(m.Run())
	}
	srv := httptest.NewUnstartedServer(caller.ResetUnlessWhole(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		select {}
	})))
	srv.Config.ConnContext = caller.WithConn
	srv.Start()
	fmt.Println(srv.Listener.Addr())
	select {}
}

// Guards against an answer that looks whole, with any protocol, because the process that sent it was killed.
func TestAnswerOfKilledProcessLooksBroken(t *testing.T) {
	for _, protocol := range standin.Protocols {
		t.Run(protocol, func(t *testing.T) {
			is := is.New(t)
			server, err := standin.StartProcess(killedServer)
			is.NoErr(err)
			time.AfterFunc(100*time.Millisecond, server.Kill)
			_, body, err := standin.Fetch(server.Address(), protocol, http.MethodGet, "/x", nil, "")
			is.Equal(body, "part")
			is.True(err != nil)
		})
	}
}
