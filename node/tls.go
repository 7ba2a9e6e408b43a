package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/config"
	"k8s.io/klog/v2"
)

const reloadInterval = 10 * time.Second // least time between two reads of the certificate files

// certReloader holds the node's certificate and authority and reads their files
// again when they are used, at most once per reloadInterval, so that they can be
// replaced without a restart.
type certReloader struct {
	settings config.Node
	mu       sync.Mutex
	readAt   time.Time // of the last attempt
	cert     *tls.Certificate
	pool     *x509.CertPool // certificates of the authority
}

func newCertReloader(settings config.Node) *certReloader {
	return &certReloader{settings: settings}
}

// readFiles reads the certificate with its key, and the authority.
func (r *certReloader) readFiles() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(r.settings.CertFile, r.settings.KeyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load the node's certificate")
	}
	data, err := os.ReadFile(r.settings.CAFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load the certificate authority of the nodes")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, errors.Errorf("file %s contains no PEM certificate", r.settings.CAFile)
	}
	return &cert, pool, nil
}

// current returns the certificate and authority in use, after reading the files
// again if that is due. If the files cannot be read, the previous ones stay in
// use.
func (r *certReloader) current(now time.Time) (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.readAt) < reloadInterval {
		return r.cert, r.pool
	}
	r.readAt = now
	cert, pool, err := r.readFiles()
	if err != nil {
		klog.ErrorS(err, "Failed to reload the certificate; keeping the previous one")
		return r.cert, r.pool
	}
	r.cert, r.pool = cert, pool
	return r.cert, r.pool
}

// tlsConfig returns a configuration for both sides of a session. Each side must
// present a certificate that the authority signed. The certificate need not name
// the node's address, because hosts are replaced at any time.
func (r *certReloader) tlsConfig() (*tls.Config, error) {
	cert, pool, err := r.readFiles()
	if err != nil {
		return nil, err
	}
	r.cert, r.pool, r.readAt = cert, pool, time.Now()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// The standard check would need a host name and a fixed authority;
		// VerifyConnection verifies the chain against the authority in use.
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current(time.Now())
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current(time.Now())
			return cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verify(time.Now(), state.PeerCertificates)
		},
	}, nil
}

// UntrustedError reports that a peer presented no certificate, or none that the
// authority signed.
type UntrustedError struct {
	Err error // of the verification; nil if there was no certificate
}

// Error says whether the certificate is missing or why it is not trusted.
func (e *UntrustedError) Error() string {
	if e.Err == nil {
		return "peer presented no certificate"
	}
	return "peer's certificate is not trusted: " + e.Err.Error()
}

// Unwrap returns the error of the verification.
func (e *UntrustedError) Unwrap() error { return e.Err }

// verify checks that chain, whose first certificate is the peer's, leads to the
// authority in use. Its error is an *UntrustedError.
func (r *certReloader) verify(now time.Time, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return &UntrustedError{}
	}
	_, pool := r.current(now)
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return &UntrustedError{Err: err}
	}
	return nil
}
