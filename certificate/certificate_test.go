package certificate

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.key, a.cert = a.issue(1, time.Hour, true)
	return a
}

func (a *authority) issue(serial int64, lifetime time.Duration, isCA bool) (key *ecdsa.PrivateKey, cert *x509.Certificate) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: fmt.Sprint("serial ", serial)}, IsCA: isCA, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := a.cert, a.key
	if isCA {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err = x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return key, cert
}

// write writes a new certificate to the files, with the authorities that its owner trusts.
func (a *authority) write(files settings.Certificate, serial int64, lifetime time.Duration, trusted ...*authority) {
	a.t.Helper()
	key, cert := a.issue(serial, lifetime, false)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	writePEM(a.t, files.Certificate, "CERTIFICATE", cert.Raw)
	writePEM(a.t, files.Key, "PRIVATE KEY", der)
	var raws [][]byte
	for _, t := range trusted {
		raws = append(raws, t.cert.Raw)
	}
	writePEM(a.t, files.Authorities, "CERTIFICATE", raws...)
}

func writePEM(t *testing.T, path, kind string, raws ...[]byte) {
	t.Helper()
	var text []byte
	for _, raw := range raws {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})...)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func newFiles(t *testing.T) settings.Certificate {
	dir := t.TempDir()
	return settings.Certificate{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "authorities.pem")}
}

// serveEcho echoes lines on a listener until the test ends.
func serveEcho(t *testing.T, r *Reloader) (address string) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	lis := r.Listener(inner)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return inner.Addr().String()
}

// echo sends a line and reads it back. With TLS 1.3 a client learns only at its first read that its
// certificate was rejected.
func echo(c net.Conn) (err error) {
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err = io.WriteString(c, "renewal\n"); err != nil {
		return err
	}
	_, err = bufio.NewReader(c).ReadString('\n')
	return err
}

func call(r *Reloader, address string) (c net.Conn, err error) {
	c, err = r.Dial(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return c, echo(c)
}

// Guards against interrupted streams when operators write a new certificate: open connections must
// continue, and new ones must get the new certificate without a restart.
func TestRotationKeepsOpenConnections(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	files := newFiles(t)
	a.write(files, 2, time.Hour, a)
	r, err := Open(files)
	is.NoErr(err)
	address := serveEcho(t, r)
	oldConn, err := call(r, address)
	is.NoErr(err)
	a.write(files, 3, time.Hour, a)
	changed, err := r.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(echo(oldConn))
	newConn, err := call(r, address)
	is.NoErr(err)
	is.Equal(serial(oldConn), int64(2))
	is.Equal(serial(newConn), int64(3))
}

func serial(c net.Conn) int64 {
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Guards against a peer with a certificate of another authority: the handshake must fail in either
// direction.
func TestUntrustedCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	ourFiles, theirFiles := newFiles(t), newFiles(t)
	ours.write(ourFiles, 2, time.Hour, ours)
	theirs.write(theirFiles, 2, time.Hour, theirs, ours) // the other system trusts ours
	ourReloader, err := Open(ourFiles)
	is.NoErr(err)
	theirReloader, err := Open(theirFiles)
	is.NoErr(err)
	_, err = call(theirReloader, serveEcho(t, ourReloader))
	is.True(err != nil) // our server rejects their client
	_, err = call(ourReloader, serveEcho(t, theirReloader))
	is.True(errorx.IsOfType(err, ErrUntrusted)) // our client rejects their server
}

// Guards against a certificate that expires because its files are not renewed: peers must reject it from
// then on, and a process must not replace a valid certificate by an expired one.
func TestExpiredCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	files, old := newFiles(t), newFiles(t)
	a.write(files, 2, time.Hour, a)
	r, err := Open(files)
	is.NoErr(err)
	a.write(files, 3, -time.Hour, a)
	_, err = r.Reload()
	is.True(errorx.IsOfType(err, ErrUnusable))
	_, err = call(r, serveEcho(t, r))
	is.NoErr(err) // the old one remains in use
	a.write(old, 4, -time.Hour, a)
	_, err = Open(old)
	is.True(errorx.IsOfType(err, ErrUnusable))
	expired, err := newExpiredReloader(old)
	is.NoErr(err)
	_, err = call(expired, serveEcho(t, r))
	is.True(err != nil) // rejected by the server
	_, err = call(r, serveEcho(t, expired))
	is.True(errorx.IsOfType(err, ErrUntrusted)) // rejected by the client
}

// newExpiredReloader returns a Reloader whose certificate has expired since it was loaded.
func newExpiredReloader(files settings.Certificate) (r *Reloader, err error) {
	r = &Reloader{files: files}
	contents, err := r.read()
	if err != nil {
		return nil, err
	}
	s := &snapshot{contents: contents}
	if s.certificate, err = tls.X509KeyPair(contents[0], contents[1]); err != nil {
		return nil, err
	}
	s.authorities = x509.NewCertPool()
	s.authorities.AppendCertsFromPEM(contents[2])
	s.server = s.serverConfig()
	r.current.Store(s)
	return r, nil
}

// Guards against a reload between the writes of a key and of its certificate: the pair does not match and
// must not replace the one in use.
func TestMismatchedPairIsNotLoaded(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	files, next := newFiles(t), newFiles(t)
	a.write(files, 2, time.Hour, a)
	a.write(next, 3, time.Hour, a)
	r, err := Open(files)
	is.NoErr(err)
	is.NoErr(os.Rename(next.Key, files.Key))
	_, err = r.Reload()
	is.True(errorx.IsOfType(err, ErrUnusable))
	_, err = call(r, serveEcho(t, r))
	is.NoErr(err)
	is.NoErr(os.Rename(next.Certificate, files.Certificate))
	changed, err := r.Reload()
	is.NoErr(err)
	is.True(changed)
}
