package secure

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/stand/certs"
	"chivecroft.example/chivecroft/internal/state/timer"
)

func newAuthority(t *testing.T, name string) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority(name)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue writes a certificate into a folder and returns a listener that uses it.
func issue(t *testing.T, a *certs.Authority, dir string) params.Listener {
	t.Helper()
	if err := a.Issue(dir); err != nil {
		t.Fatal(err)
	}
	return params.Listener{
		TLSCert: filepath.Join(dir, certs.CertFile),
		TLSKey:  filepath.Join(dir, certs.KeyFile),
		TLSCA:   filepath.Join(dir, certs.CAFile),
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
	files, err := NewFiles(issue(t, first, dir), clock, func(error) { errs++ })
	if err != nil {
		t.Fatal(err)
	}
	stranger, err := NewFiles(issue(t, second, others), clock, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	got := []string{
		"same authority: " + handshake(t, files.Server(), files.Client()),
		"stranger dials: " + handshake(t, files.Server(), stranger.Client()),
		"stranger listens: " + handshake(t, stranger.Server(), files.Client()),
		"no certificate: " + handshake(t, files.Server(), &tls.Config{InsecureSkipVerify: true}),
	}
	issue(t, second, dir)
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
