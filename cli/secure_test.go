package cli

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/peer"
	"github.com/parsleydeal/parsleydeal/settings"
)

// selfSigned writes a self-signed certificate and its key to files and returns a certificate pool
// that trusts it.
func selfSigned(t *testing.T) (files settings.Certificate, pool *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files = settings.Certificate{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "cert.pem")}
	for path, block := range map[string]*pem.Block{files.Certificate: {Type: "CERTIFICATE", Bytes: der}, files.Key: {Type: "PRIVATE KEY", Bytes: private}} {
		if err = os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return files, pool
}

// All interfaces use TLS. Requests of callers and operators must succeed. A client without a
// certificate of the system must be refused, as it could otherwise query processes and send orders
// to endpoints, and so must a caller over plain HTTP.
func TestSystemOverTLS(t *testing.T) {
	is := is.New(t)
	files, pool := selfSigned(t)
	l := startLocal(t, engineParams{tokens: 3}, func(l *local) {
		l.scheme = "https://"
		l.http = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
		clientCertificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		is.NoErr(err)
		l.operatorsHTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{clientCertificate}}}}
		l.adjust = func(s *settings.Settings) {
			s.TLS = settings.TLS{ReloadInterval: 100, Peers: files}
			s.TLS.Callers = settings.Certificate{Certificate: files.Certificate, Key: files.Key}
			s.TLS.Operators = files
		}
	})
	a, err := l.caller(0, demoKey).Complete(t.Context(), []byte(`{"model":"quick","stream":true,"messages":[{"role":"user","content":"x"}]}`), client.Options{}, nil)
	is.NoErr(err)
	is.Equal(a.Text, "w0 w1 w2 ")
	op, err := l.operator()
	is.NoErr(err)
	all, err := op.Status(t.Context())
	is.NoErr(err)
	for _, s := range all {
		is.NoErr(s.Err)
	}
	op.Peers = peer.NewPool()
	all, err = op.Status(t.Context())
	is.NoErr(err)
	for _, s := range all {
		is.True(s.Err != nil) // a client without a certificate is refused
	}
	_, err = http.Get("http://" + l.callers[0] + "/v1/models")
	is.True(err != nil) // plain HTTP is refused as well
}
