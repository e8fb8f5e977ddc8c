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

// authority issues certificates in a test.
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

func (a *authority) issue(serial int64, life time.Duration, isCA bool) (key *ecdsa.PrivateKey, cert *x509.Certificate) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: fmt.Sprint("serial ", serial)}, IsCA: isCA, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(life),
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

// write puts a new certificate into the files, verified by some authorities.
func (a *authority) write(files settings.Certificate, serial int64, life time.Duration, trusted ...*authority) {
	a.t.Helper()
	key, cert := a.issue(serial, life, false)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	put(a.t, files.Certificate, "CERTIFICATE", cert.Raw)
	put(a.t, files.Key, "PRIVATE KEY", der)
	var raws [][]byte
	for _, t := range trusted {
		raws = append(raws, t.cert.Raw)
	}
	put(a.t, files.Authorities, "CERTIFICATE", raws...)
}

func put(t *testing.T, path, kind string, raws ...[]byte) {
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

// serveEcho answers lines on a listener until the test ends.
func serveEcho(t *testing.T, k *Reloader) (address string) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	lis := k.Listener(inner)
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

// echo sends a line and reads it back. With TLS 1.3 a client hears only at its
// first read that its certificate was refused.
func echo(c net.Conn) (err error) {
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err = io.WriteString(c, "renewal\n"); err != nil {
		return err
	}
	_, err = bufio.NewReader(c).ReadString('\n')
	return err
}

func call(k *Reloader, address string) (c net.Conn, err error) {
	c, err = k.Dial(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return c, echo(c)
}

// Operators write a new certificate while requests stream. The streams must go
// on, new connections must get the new certificate, and nothing restarts.
func TestRotationKeepsOpenConnections(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	files := newFiles(t)
	a.write(files, 2, time.Hour, a)
	k, err := Open(files)
	is.NoErr(err)
	address := serveEcho(t, k)
	before, err := call(k, address)
	is.NoErr(err)
	a.write(files, 3, time.Hour, a)
	changed, err := k.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(echo(before))
	after, err := call(k, address)
	is.NoErr(err)
	is.Equal(serial(before), int64(2))
	is.Equal(serial(after), int64(3))
}

func serial(c net.Conn) int64 {
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// A process that another authority vouches for speaks to the system's own. It
// must get no further than the handshake, in either direction.
func TestUntrustedCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	ourFiles, theirFiles := newFiles(t), newFiles(t)
	ours.write(ourFiles, 2, time.Hour, ours)
	theirs.write(theirFiles, 2, time.Hour, theirs, ours) // it trusts us
	us, err := Open(ourFiles)
	is.NoErr(err)
	them, err := Open(theirFiles)
	is.NoErr(err)
	_, err = call(them, serveEcho(t, us))
	is.True(err != nil) // our server refuses their client
	_, err = call(us, serveEcho(t, them))
	is.True(errorx.IsOfType(err, ErrUntrusted)) // our client refuses their server
}

// A certificate expires on a VM whose files nobody renewed. Others must refuse
// it from then on, and a process must not take an expired one in place of one
// that still holds.
func TestExpiredCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	files, old := newFiles(t), newFiles(t)
	a.write(files, 2, time.Hour, a)
	k, err := Open(files)
	is.NoErr(err)
	a.write(files, 3, -time.Hour, a)
	_, err = k.Reload()
	is.True(errorx.IsOfType(err, ErrUnusable))
	_, err = call(k, serveEcho(t, k))
	is.NoErr(err) // the old one goes on
	a.write(old, 4, -time.Hour, a)
	_, err = Open(old)
	is.True(errorx.IsOfType(err, ErrUnusable))
	expired, err := loadExpired(old)
	is.NoErr(err)
	_, err = call(expired, serveEcho(t, k))
	is.True(err != nil) // refused by the server
	_, err = call(k, serveEcho(t, expired))
	is.True(errorx.IsOfType(err, ErrUntrusted)) // refused by the client
}

// loadExpired is a process that has held its certificate past its end.
func loadExpired(files settings.Certificate) (k *Reloader, err error) {
	k = &Reloader{files: files}
	text, err := k.read()
	if err != nil {
		return nil, err
	}
	l := &loaded{text: text}
	if l.certificate, err = tls.X509KeyPair(text[0], text[1]); err != nil {
		return nil, err
	}
	l.authorities = x509.NewCertPool()
	l.authorities.AppendCertsFromPEM(text[2])
	l.server = l.serverConfig()
	k.current.Store(l)
	return k, nil
}

// A reload falls between the writing of the key and of its certificate. The
// pair does not match and must not replace the one in use.
func TestMismatchedPairIsNotLoaded(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	files, next := newFiles(t), newFiles(t)
	a.write(files, 2, time.Hour, a)
	a.write(next, 3, time.Hour, a)
	k, err := Open(files)
	is.NoErr(err)
	is.NoErr(os.Rename(next.Key, files.Key))
	_, err = k.Reload()
	is.True(errorx.IsOfType(err, ErrUnusable))
	_, err = call(k, serveEcho(t, k))
	is.NoErr(err)
	is.NoErr(os.Rename(next.Certificate, files.Certificate))
	changed, err := k.Reload()
	is.NoErr(err)
	is.True(changed)
}
