// Package certificate keeps the TLS certificates of an interface and takes new
// ones from their files without a restart.
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
	// ErrUnusable marks files that hold no usable certificate.
	ErrUnusable = Errors.NewType("unfit")
	// ErrUntrusted marks a peer whose certificate is of no known authority, or
	// not valid now.
	ErrUntrusted = Errors.NewType("foreign")
)

// Reloader holds the certificate of one interface.
type Reloader struct {
	files settings.Certificate
	// current is replaced whole; connections that are open keep what they began
	// with.
	current atomic.Pointer[loaded]
}

// loaded is what one look at the files found.
type loaded struct {
	text        [][]byte
	certificate tls.Certificate
	// authorities is nil when the other side needs no certificate.
	authorities *x509.CertPool
	// server is made once a load, so that session tickets given under earlier
	// authorities are worth nothing.
	server *tls.Config
}

// Open reads the files. ErrUnfit says what is wrong with them.
func Open(files settings.Certificate) (k *Reloader, err error) {
	k = &Reloader{files: files}
	_, err = k.Reload()
	return k, err
}

// Reload looks at the files and takes what is new. Files that cannot be used,
// such as a key that was written before its certificate, leave the old
// certificate in place.
func (k *Reloader) Reload() (changed bool, err error) {
	defer func() {
		if err != nil {
			err = ErrUnusable.Wrap(err, "%s", k.files.Certificate)
		}
	}()
	text, err := k.read()
	if err != nil {
		return false, err
	}
	old := k.current.Load()
	if old != nil && slices.EqualFunc(old.text, text, bytes.Equal) {
		return false, nil
	}
	next, err := load(text)
	if err != nil {
		return false, err
	}
	k.current.Store(next)
	return true, nil
}

func (k *Reloader) read() (text [][]byte, err error) {
	for _, path := range []string{k.files.Certificate, k.files.Key, k.files.Authorities} {
		var data []byte
		if path != "" {
			if data, err = os.ReadFile(path); err != nil {
				return nil, err
			}
		}
		text = append(text, data)
	}
	return text, nil
}

func load(text [][]byte) (l *loaded, err error) {
	l = &loaded{text: text}
	if l.certificate, err = tls.X509KeyPair(text[0], text[1]); err != nil {
		return nil, err
	}
	if until := l.certificate.Leaf.NotAfter; time.Now().After(until) {
		return nil, ErrUnusable.New("certificate expired at %s", until.UTC().Format(time.RFC3339))
	}
	if len(text[2]) > 0 {
		l.authorities = x509.NewCertPool()
		if !l.authorities.AppendCertsFromPEM(text[2]) {
			return nil, ErrUnusable.New("file of authorities holds no certificate")
		}
	}
	l.server = l.serverConfig()
	return l, nil
}

func (l *loaded) serverConfig() *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{l.certificate}}
	if l.authorities != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = l.authorities
	}
	return c
}

// Watch reloads until the context ends. Report hears of each new certificate,
// with a nil error, and of each failure once until it changes.
func (k *Reloader) Watch(ctx context.Context, every clock.Millis, report func(err error)) {
	t := time.NewTicker(every.Duration())
	defer t.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		changed, err := k.Reload()
		switch {
		case err != nil && err.Error() != last:
			last = err.Error()
			report(err)
		case changed:
			last = ""
			report(nil)
		}
	}
}

// NotAfter returns when the certificate in use expires.
func (k *Reloader) NotAfter() time.Time { return k.current.Load().certificate.Leaf.NotAfter }

// Listener speaks TLS on the connections of a listener, each with the
// certificate that is current when it begins.
func (k *Reloader) Listener(lis net.Listener) net.Listener {
	return tls.NewListener(lis, &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.current.Load().server, nil },
	})
}

// Dial connects to another process of the system and has it prove that it is
// one. Its name is not compared: processes are known by IP numbers that go from
// VM to VM, so a certificate of the system's own authority is the proof.
func (k *Reloader) Dial(ctx context.Context, network, address string) (conn net.Conn, err error) {
	l := k.current.Load()
	d := &tls.Dialer{Config: &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{l.certificate},
		// VerifyConnection takes the place of the check that is skipped here,
		// which would compare names.
		InsecureSkipVerify: true,
		VerifyConnection:   l.verify,
	}}
	return d.DialContext(ctx, network, address)
}

func (l *loaded) verify(state tls.ConnectionState) (err error) {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrusted.New("the other side shows no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: l.authorities, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	if err != nil {
		return ErrUntrusted.Wrap(err, "verify the other side")
	}
	return nil
}
