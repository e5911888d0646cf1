package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// The files that Issue writes.
const (
	CertFile = "cert.pem"
	KeyFile  = "key.pem"
	CAFile   = "ca.pem"
)

// validity is how long before and after now a certificate is valid.
const validity = time.Hour

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a key of its own.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err, "key of authority %s", name)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		IsCA:                  true,
		BasicConstraintsValid: true,
		NotBefore:             time.Now().Add(-validity),
		NotAfter:              time.Now().Add(validity),
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err, "certificate of authority %s", name)
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, trace.Wrap(err)
}

// Issue writes a fresh certificate for 127.0.0.1, its key and the authority's
// certificate into a folder, over what is there.
func (a *Authority) Issue(dir string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "entry"},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return trace.Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.NewAggregate(
		write(filepath.Join(dir, CertFile), "CERTIFICATE", der),
		write(filepath.Join(dir, KeyFile), "EC PRIVATE KEY", keyDER),
		write(filepath.Join(dir, CAFile), "CERTIFICATE", a.cert.Raw),
	)
}

func write(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return trace.ConvertSystemError(os.WriteFile(path, data, 0o600))
}
