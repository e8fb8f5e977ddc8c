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

// Certificates holds the keepers of a process; one is nil where its interface
// speaks plain TCP.
type Certificates struct {
	callers, operators, peers *certificate.Reloader
}

// OpenCertificates reads the certificates that the settings name.
func OpenCertificates(s settings.TLS) (c Certificates, err error) {
	open := func(files settings.Certificate) (k *certificate.Reloader) {
		if err != nil || files.Certificate == "" {
			return nil
		}
		k, err = certificate.Open(files)
		return k
	}
	c = Certificates{callers: open(s.Callers), operators: open(s.Operators), peers: open(s.Peers)}
	return c, err
}

// Pool makes the connections to other processes of the system.
func (c Certificates) Pool() *peer.Pool {
	if c.peers == nil {
		return peer.NewPool()
	}
	return peer.NewPoolWith(c.peers.Dial)
}

// secure speaks TLS on a listener if there is a certificate for it.
func secure(k *certificate.Reloader, lis net.Listener) net.Listener {
	if k == nil {
		return lis
	}
	return k.Listener(lis)
}

// named returns the keepers by interface.
func (c Certificates) named() map[string]*certificate.Reloader {
	out := make(map[string]*certificate.Reloader)
	for name, k := range map[string]*certificate.Reloader{"callers": c.callers, "operators": c.operators, "peers": c.peers} {
		if k != nil {
			out[name] = k
		}
	}
	return out
}

// watch takes new certificates from their files until the context ends.
func (p *process) watch(ctx context.Context) {
	for name, k := range p.certificates.named() {
		p.node.Metrics().GetOrCreateGauge(`parsleydeal_certificate_seconds_left{interface="`+name+`"}`, func() float64 {
			return time.Until(k.NotAfter()).Seconds()
		})
		go k.Watch(ctx, p.settings.TLS.ReloadInterval, func(err error) { reportCertificate(p.log, name, k, err) })
	}
}

func reportCertificate(l *log.Logger, name string, k *certificate.Reloader, err error) {
	if err != nil {
		l.Error("New certificate is not taken, the old one goes on", "interface", name, "expires", k.NotAfter(), "error", logbook.Text(err))
		return
	}
	l.Info("New certificate is in use", "interface", name, "expires", k.NotAfter())
}
