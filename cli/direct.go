package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/daemon"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/settings"
)

// directConfig is the configuration that the demo's operator publishes.
const directConfig = `{"version":1,"routes":[
 {"name":"quick","host":"demo.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":1500,"sizes":["small","large"],"service":"pool","maxAttempts":3,"resumable":true},
 {"name":"fees","host":"demo.example","pathPrefix":"/fees/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,"service":"records","maxAttempts":1}],
 "services":[{"name":"pool","engine":{"slots":64}},{"name":"records"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"demo","apiKeys":["demo-key"]}]}`

// startupLimit bounds the wait until the demo's entry is ready.
const startupLimit = 5 * clock.Second

// DirectDemo runs an entry that sends straight to endpoints, over stand-ins of a
// platform's store and endpoints, and shows what became of a few requests.
func DirectDemo(ctx context.Context, w io.Writer) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := standin.NewStore()
	srv := httptest.NewServer(store.Door())
	defer srv.Close()
	defer srv.CloseClientConnections()
	endpoints, err := startDirectEndpoints(store)
	if err != nil {
		return err
	}
	for _, e := range endpoints {
		defer e.Close()
	}
	store.Put("keyed.op", "config", []byte(directConfig))
	s, err := directSettings(strings.TrimPrefix(srv.URL, "http://"))
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- daemon.RunDirectOn(ctx, s, io.Discard) }()
	if err = waitDirect(ctx, "http://"+s.Direct.Ready); err != nil {
		return err
	}
	for _, path := range []string{"/chat/easy", "/chat/hard", "/fees/renewal-17"} {
		if err = showDirect(ctx, w, s.Entry.Callers, path); err != nil {
			return err
		}
	}
	for _, e := range endpoints {
		for _, r := range e.Runs() {
			fmt.Fprintf(w, "%-10s ran %-12s for %s %s\n", e.Name, r.Path, r.Organisation, r.Model)
		}
	}
	cancel()
	return <-ended
}

// startDirectEndpoints starts two model endpoints, of which the second breaks its
// streams off, and a plain service.
func startDirectEndpoints(store *standin.Store) (all []*standin.Endpoint, err error) {
	for _, x := range []struct {
		name, service string
		breakAfter    int
	}{{"pool-1", "pool", -1}, {"pool-2", "pool", 2}, {"records-1", "records", -1}} {
		e, err := standin.StartEndpoint(x.name, func(r *http.Request) standin.Act {
			a := standin.Act{BreakAfter: x.breakAfter, Confidence: 90}
			if x.service == "pool" {
				a.Events = 5
			}
			if strings.HasSuffix(r.URL.Path, "hard") && r.Header.Get("Model") == "small" {
				a.Confidence = 15
			}
			return a
		})
		if err != nil {
			return nil, err
		}
		all = append(all, e)
		store.Put("keyed.servers", x.name, e.Entry(x.service, "zone-a", "v1", "ready", 1))
	}
	return all, nil
}

func directSettings(store string) (s settings.Settings, err error) {
	s = settings.Default()
	s.VM, s.Zone, s.Region = "entry-1", "zone-a", "demo"
	s.Direct.Store = store
	for _, address := range []*string{&s.Peer, &s.Entry.Callers, &s.Direct.Ready} {
		lis, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return s, err
		}
		*address = lis.Addr().String()
		if err = lis.Close(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func waitDirect(ctx context.Context, ready string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startupLimit.Duration())
	defer cancel()
	for clock.Pause(ctx, 20) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, ready+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("demo: the entry is not ready after %s", startupLimit)
}

func showDirect(ctx context.Context, w io.Writer, callers, path string) (err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+path, strings.NewReader("When is the renewal due?"))
	if err != nil {
		return err
	}
	r.Host = "demo.example"
	r.Header.Set("Request-Id", strings.TrimPrefix(path, "/"))
	r.Header.Set("Api-Key", "demo-key")
	if strings.HasPrefix(path, "/chat/") {
		r.Header.Set("Model", "*")
	}
	begun := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%-18s %d, %d bytes in %s\n", path, resp.StatusCode, len(data), time.Since(begun).Round(time.Millisecond))
	return err
}
