package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// Guards against an answer that breaks off and looks whole, with any protocol, and against whole ones that look broken.
func TestAnswerLooksWholeOnlyIfItIs(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewUnstartedServer(caller.ResetUnlessWhole(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, " and rest")
	})))
	srv.Config.ConnContext = caller.WithConn
	srv.Start()
	defer srv.Close()
	for _, protocol := range standin.Protocols {
		_, body, err := standin.Fetch(srv.Listener.Addr().String(), protocol, http.MethodGet, "/whole", nil, "")
		is.NoErr(err)
		is.Equal(body, "part and rest")
		_, _, err = standin.Fetch(srv.Listener.Addr().String(), protocol, http.MethodGet, "/broken", nil, "")
		is.True(err != nil)
	}
}
