package secure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// authority signs certificates for the local address.
type authority struct {
	name string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{name: name}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes a certificate, its key and the authority into a folder.
func (a *authority) issue(t *testing.T, dir string) params.Listener {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	l := params.Listener{
		TLSCert: filepath.Join(dir, "cert.pem"), TLSKey: filepath.Join(dir, "key.pem"), TLSCA: filepath.Join(dir, "ca.pem"),
	}
	write(t, l.TLSCert, "CERTIFICATE", der)
	write(t, l.TLSKey, "EC PRIVATE KEY", keyDER)
	write(t, l.TLSCA, "CERTIFICATE", a.cert.Raw)
	return l
}

func write(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake returns the name of the authority that signed the server's
// certificate, or why the two did not come together.
func handshake(t *testing.T, server, client *tls.Config) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			defer conn.Close()
		}
		accepted <- err
	}()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		if <-accepted == nil {
			return "client refuses, server does not"
		}
		return "client refuses"
	}
	defer conn.Close()
	if err := <-accepted; err != nil {
		return "server refuses"
	}
	return conn.ConnectionState().PeerCertificates[0].Issuer.CommonName
}

// TestRenewal replaces the files of a running listener: the new ones are in use
// after a while, and a damaged set never is.
func TestRenewal(t *testing.T) {
	clock := timer.NewVirtual(time.Now())
	dir, others := t.TempDir(), t.TempDir()
	first, second := newAuthority(t, "first"), newAuthority(t, "second")
	var errs int
	files, err := NewFiles(first.issue(t, dir), clock, func(error) { errs++ })
	if err != nil {
		t.Fatal(err)
	}
	stranger, err := NewFiles(second.issue(t, others), clock, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	got := []string{
		"same authority: " + handshake(t, files.Server(), files.Client()),
		"stranger dials: " + handshake(t, files.Server(), stranger.Client()),
		"stranger listens: " + handshake(t, stranger.Server(), files.Client()),
		"no certificate: " + handshake(t, files.Server(), &tls.Config{InsecureSkipVerify: true}),
	}
	second.issue(t, dir)
	got = append(got, "renewed, not read: "+handshake(t, files.Server(), files.Client()))
	clock.Advance(rereadEvery)
	got = append(got, "renewed: "+handshake(t, files.Server(), stranger.Client()))
	if err := os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	clock.Advance(rereadEvery)
	got = append(got, "damaged: "+handshake(t, files.Server(), files.Client()))
	want := []string{
		"same authority: first",
		"stranger dials: client refuses",
		"stranger listens: client refuses",
		"no certificate: server refuses",
		"renewed, not read: first",
		"renewed: second",
		"damaged: second",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("handshakes (-want +got):\n%s", diff)
	}
	if errs != 1 {
		t.Errorf("%d errors were reported, want 1", errs)
	}
}
