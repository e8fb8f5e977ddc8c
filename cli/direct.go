package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/parsleydeal/parsleydeal/daemon"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/settings"
)

// DirectDemo runs an entry that sends requests directly to endpoints, with stand-ins for the
// platform's store and for the endpoints. It sends a few requests and prints their outcomes and the
// requests that each endpoint ran.
func DirectDemo(ctx context.Context, w io.Writer) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	site, err := standin.StartSite()
	if err != nil {
		return err
	}
	defer site.Close()
	s, err := directSettings(site.StoreAddress())
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- daemon.RunDirectOn(ctx, s, io.Discard) }()
	if err = site.WaitReady(ctx, s.Direct.Ready); err != nil {
		return err
	}
	for _, path := range []string{"/chat/easy", "/chat/hard", "/fees/renewal-17"} {
		start := time.Now()
		status, body, err := site.Send(ctx, s.Entry.Callers, path, "When is the renewal due?")
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%-18s %d, %d bytes in %s\n", path, status, len(body), time.Since(start).Round(time.Millisecond))
	}
	for _, e := range site.Endpoints() {
		for _, r := range e.Runs() {
			fmt.Fprintf(w, "%-10s ran %-12s for %s %s\n", e.Name, r.Path, r.Organisation, r.Model)
		}
	}
	cancel()
	return <-ended
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
