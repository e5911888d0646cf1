package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// rereadEvery is how long files are used before they are read again.
const rereadEvery = 10 * time.Second

// Files are the certificate, key and authorities of one listener.
//
// A set of files that cannot be read or does not fit together is passed over:
// the last good one stays in use, so that a half-written renewal harms nobody.
type Files struct {
	listener params.Listener
	timer    timer.Service
	onError  func(error)

	mu     sync.Mutex
	loaded loaded
}

type loaded struct {
	cert  *tls.Certificate
	roots *x509.CertPool
	at    time.Time
}

// NewFiles reads a listener's files; onError hears of later failures to read them.
func NewFiles(l params.Listener, t timer.Service, onError func(error)) (*Files, error) {
	f := &Files{listener: l, timer: t, onError: onError}
	fresh, err := f.read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.loaded = fresh
	return f, nil
}

// Server returns the configuration of the listening side; with authorities it
// demands a certificate that they signed.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := f.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*now.cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if now.roots != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = now.roots
			}
			return c, nil
		},
	}
}

// Client returns the configuration of the dialling side, which shows its own
// certificate and verifies the other's against the authorities.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.current().cert, nil
		},
		// The standard check reads RootCAs once; to follow renewed authorities
		// the same check is made below with those in force now.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify,
	}
}

func (f *Files) verify(state tls.ConnectionState) error {
	opts := x509.VerifyOptions{
		Roots:         f.current().roots,
		DNSName:       state.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return trace.Wrap(err, "verifying the certificate of %s", state.ServerName)
}

func (f *Files) current() loaded {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.timer.Now().Sub(f.loaded.at) < rereadEvery {
		return f.loaded
	}
	fresh, err := f.read()
	if err != nil {
		f.onError(err)
		f.loaded.at = f.timer.Now()
		return f.loaded
	}
	f.loaded = fresh
	return fresh
}

func (f *Files) read() (loaded, error) {
	cert, err := tls.LoadX509KeyPair(f.listener.TLSCert, f.listener.TLSKey)
	if err != nil {
		return loaded{}, trace.Wrap(err, "reading %s and %s", f.listener.TLSCert, f.listener.TLSKey)
	}
	fresh := loaded{cert: &cert, at: f.timer.Now()}
	if f.listener.TLSCA == "" {
		return fresh, nil
	}
	pem, err := os.ReadFile(f.listener.TLSCA)
	if err != nil {
		return loaded{}, trace.ConvertSystemError(err)
	}
	fresh.roots = x509.NewCertPool()
	if !fresh.roots.AppendCertsFromPEM(pem) {
		return loaded{}, trace.BadParameter("%s holds no certificate in PEM form", f.listener.TLSCA)
	}
	return fresh, nil
}
