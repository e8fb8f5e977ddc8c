package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
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
	srv := httptest.NewUnstartedServer(caller.ShowBroken(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), killedServer+"=1")
			out, err := cmd.StdoutPipe()
			is.NoErr(err)
			is.NoErr(cmd.Start())
			defer func() { _ = cmd.Wait() }()
			address, err := bufio.NewReader(out).ReadString('\n')
			is.NoErr(err)
			defer time.AfterFunc(100*time.Millisecond, func() { _ = cmd.Process.Kill() }).Stop()
			_, body, err := standin.Fetch(strings.TrimSpace(address), protocol, http.MethodGet, "/x", nil, "")
			is.Equal(body, "part")
			is.True(err != nil)
		})
	}
}
