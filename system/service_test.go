package system

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A service starts its response while it is still reading a large request body. A router that sends
// the full body before it reads the response would deadlock: the service waits until its response
// is read, and the router until the body is read.
func TestServiceStreamsBothWays(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterSpec{entries: 1, endpoints: 1, plain: 1, zones: 1, firstTokenDelay: 1, tokenGap: 1, tokenCount: 1})
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+c.entries[0].callersAddress+"/v1/services/records/echo", bytes.NewReader(body))
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
