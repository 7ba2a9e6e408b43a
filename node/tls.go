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

const reloadPeriod = 10 * time.Second

// reloader reads the node's certificate again when its files may have changed,
// so that a certificate is replaced without a restart.
type reloader struct {
	settings config.Node
	mu       sync.Mutex
	read     time.Time
	cert     *tls.Certificate
	pool     *x509.CertPool
}

func newReloader(settings config.Node) *reloader {
	return &reloader{settings: settings}
}

// Reads the files.
func (r *reloader) load() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(r.settings.Cert, r.settings.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load the node's certificate")
	}
	data, err := os.ReadFile(r.settings.CA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load the nodes' authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, errors.Errorf("file %s holds no certificate", r.settings.CA)
	}
	return &cert, pool, nil
}

// Returns the present certificate and authority. Files that cannot be read
// leave the earlier ones in use.
func (r *reloader) current(now time.Time) (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.read) < reloadPeriod {
		return r.cert, r.pool
	}
	r.read = now
	cert, pool, err := r.load()
	if err != nil {
		klog.ErrorS(err, "Certificate is not reloaded")
		return r.cert, r.pool
	}
	r.cert, r.pool = cert, pool
	return r.cert, r.pool
}

// Returns a configuration for both sides of a session. Each side must show a
// certificate that the authority signed; the address that a node is reached
// under is not part of it, since hosts are replaced at any time.
func (r *reloader) config() (*tls.Config, error) {
	cert, pool, err := r.load()
	if err != nil {
		return nil, err
	}
	r.cert, r.pool, r.read = cert, pool, time.Now()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// The chain is verified below, against the present authority.
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

// UntrustedError says that a peer showed no certificate of the authority.
type UntrustedError struct {
	Err error
}

// Error describes the cause.
func (e *UntrustedError) Error() string {
	if e.Err == nil {
		return "peer showed no certificate"
	}
	return "peer's certificate is not trusted: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UntrustedError) Unwrap() error { return e.Err }

func (r *reloader) verify(now time.Time, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return &UntrustedError{}
	}
	_, pool := r.current(now)
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: between,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return &UntrustedError{Err: err}
	}
	return nil
}
