package daemon

import (
	"context"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/certificate"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/settings"
)

// Certificates holds the certificates of a process's interfaces. A nil one means
// that the interface uses plain TCP. The zero value uses plain TCP everywhere.
type Certificates struct {
	callers, operators, peers *certificate.Reloader
}

// OpenCertificates loads the certificates that the settings name. It fails if one
// of them cannot be loaded.
func OpenCertificates(s settings.TLS) (c Certificates, err error) {
	open := func(files settings.Certificate) (r *certificate.Reloader) {
		if err != nil || files.Certificate == "" {
			return nil
		}
		r, err = certificate.Open(files)
		return r
	}
	c = Certificates{callers: open(s.Callers), operators: open(s.Operators), peers: open(s.Peers)}
	return c, err
}

// Pool returns a pool of connections to other processes of the system, with TLS
// if there is a certificate for peers.
func (c Certificates) Pool() *peer.Pool {
	if c.peers == nil {
		return peer.NewPool()
	}
	return peer.NewPoolWith(c.peers.Dial)
}

// secure wraps a listener in TLS if there is a certificate for it.
func secure(r *certificate.Reloader, lis net.Listener) net.Listener {
	if r == nil {
		return lis
	}
	return r.Listener(lis)
}

// byInterface returns the certificates by the name of their interface; interfaces
// without one are left out.
func (c Certificates) byInterface() map[string]*certificate.Reloader {
	out := make(map[string]*certificate.Reloader)
	for name, r := range map[string]*certificate.Reloader{"callers": c.callers, "operators": c.operators, "peers": c.peers} {
		if r != nil {
			out[name] = r
		}
	}
	return out
}

// watchCertificates reloads certificates when their files change, until the context ends.
func (p *process) watchCertificates(ctx context.Context) {
	for name, r := range p.certificates.byInterface() {
		p.node.Metrics().GetOrCreateGauge(`parsleydeal_certificate_seconds_left{interface="`+name+`"}`, func() float64 {
			return time.Until(r.NotAfter()).Seconds()
		})
		go r.Watch(ctx, p.settings.TLS.ReloadInterval, func(err error) { logReload(p.log, name, r, err) })
	}
}

func logReload(l *log.Logger, name string, r *certificate.Reloader, err error) {
	if err != nil {
		l.Error("New certificate is not taken, the old one stays in use", "interface", name, "expires", r.NotAfter(), "error", logbook.Text(err))
		return
	}
	l.Info("New certificate is in use", "interface", name, "expires", r.NotAfter())
}
