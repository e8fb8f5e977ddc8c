package system

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A service answers while it still reads a large body. A router that sends the
// whole body before it takes the answer locks up with it: the service waits for
// its answer to be taken, the router for its body to be read.
func TestServiceStreamsBothWays(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, shape{entries: 1, endpoints: 1, plain: 1, zones: 1, first: 1, gap: 1, tokens: 1})
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+c.entries[0].callers+"/v1/services/records/echo", bytes.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(bytes.Equal(bytes.TrimPrefix(got, []byte("PUT /echo\n")), body))
}
