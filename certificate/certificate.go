// Package certificate manages the TLS certificate of an interface and reloads it from its files without a
// restart.
package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/settings"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("certificate")

// Kinds of errors.
var (
	// ErrUnusable marks certificate files that cannot be used.
	ErrUnusable = Errors.NewType("unfit")
	// ErrUntrusted marks a peer whose certificate is missing, expired, not yet valid or not issued by a
	// trusted authority.
	ErrUntrusted = Errors.NewType("foreign")
)

// Reloader holds the current certificate of one interface and reloads it from its files. It is safe for
// concurrent use.
type Reloader struct {
	files settings.Certificate
	// current is replaced atomically; open connections keep the snapshot with which they started.
	current atomic.Pointer[snapshot]
}

// snapshot is the immutable result of one load of the files.
type snapshot struct {
	// contents holds the bytes of the certificate, key and authorities files.
	contents    [][]byte
	certificate tls.Certificate
	// authorities is nil if the peer needs no certificate.
	authorities *x509.CertPool
	// server is created for each load, so that session tickets issued under earlier authorities are no
	// longer accepted.
	server *tls.Config
}

// Open loads the files. The message of ErrUnusable describes what is wrong with them.
func Open(files settings.Certificate) (r *Reloader, err error) {
	r = &Reloader{files: files}
	_, err = r.Reload()
	return r, err
}

// Reload loads the files if they have changed. If they cannot be used, for example because a new key was
// written before its certificate, Reload returns ErrUnusable and the current certificate remains in use.
func (r *Reloader) Reload() (changed bool, err error) {
	defer func() {
		if err != nil {
			err = ErrUnusable.Wrap(err, "%s", r.files.Certificate)
		}
	}()
	contents, err := r.read()
	if err != nil {
		return false, err
	}
	current := r.current.Load()
	if current != nil && slices.EqualFunc(current.contents, contents, bytes.Equal) {
		return false, nil
	}
	next, err := newSnapshot(contents)
	if err != nil {
		return false, err
	}
	r.current.Store(next)
	return true, nil
}

func (r *Reloader) read() (contents [][]byte, err error) {
	for _, path := range []string{r.files.Certificate, r.files.Key, r.files.Authorities} {
		var data []byte
		if path != "" {
			if data, err = os.ReadFile(path); err != nil {
				return nil, err
			}
		}
		contents = append(contents, data)
	}
	return contents, nil
}

func newSnapshot(contents [][]byte) (s *snapshot, err error) {
	s = &snapshot{contents: contents}
	if s.certificate, err = tls.X509KeyPair(contents[0], contents[1]); err != nil {
		return nil, err
	}
	if notAfter := s.certificate.Leaf.NotAfter; time.Now().After(notAfter) {
		return nil, ErrUnusable.New("certificate expired at %s", notAfter.UTC().Format(time.RFC3339))
	}
	if len(contents[2]) > 0 {
		s.authorities = x509.NewCertPool()
		if !s.authorities.AppendCertsFromPEM(contents[2]) {
			return nil, ErrUnusable.New("authorities file contains no certificate")
		}
	}
	s.server = s.serverConfig()
	return s, nil
}

func (s *snapshot) serverConfig() *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{s.certificate}}
	if s.authorities != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = s.authorities
	}
	return c
}

// Watch reloads at an interval until the context ends. It calls report with a nil error for each new
// certificate, and once for each failure that differs from the last one.
func (r *Reloader) Watch(ctx context.Context, interval clock.Millis, report func(err error)) {
	t := time.NewTicker(interval.Duration())
	defer t.Stop()
	lastFailure := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		changed, err := r.Reload()
		switch {
		case err != nil && err.Error() != lastFailure:
			lastFailure = err.Error()
			report(err)
		case changed:
			lastFailure = ""
			report(nil)
		}
	}
}

// NotAfter returns when the certificate in use expires.
func (r *Reloader) NotAfter() time.Time { return r.current.Load().certificate.Leaf.NotAfter }

// Listener wraps a listener with TLS. Each connection uses the certificate that is current when it starts.
func (r *Reloader) Listener(lis net.Listener) net.Listener {
	return tls.NewListener(lis, &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.current.Load().server, nil },
	})
}

// Dial connects to another process of the system and verifies its certificate against the authorities. It
// returns ErrUntrusted if the verification fails. The host name is not verified: processes are addressed by
// IP addresses that are reused by other VMs, so a certificate issued by the system's own authority is the
// proof of identity.
func (r *Reloader) Dial(ctx context.Context, network, address string) (conn net.Conn, err error) {
	s := r.current.Load()
	d := &tls.Dialer{Config: &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{s.certificate},
		// The default verification would also compare host names. VerifyConnection replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}}
	return d.DialContext(ctx, network, address)
}

func (s *snapshot) verify(state tls.ConnectionState) (err error) {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrusted.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: s.authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	if err != nil {
		return ErrUntrusted.Wrap(err, "verify peer certificate")
	}
	return nil
}
