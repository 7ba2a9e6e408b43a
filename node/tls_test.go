package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/config"
	"github.com/plantaindeck/plantaindeck/peer"
	"github.com/plantaindeck/plantaindeck/wire"
)

const patience = 20 * time.Second

// authority signs the certificates of a test's nodes.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	var der []byte
	der, a.key = sign(t, a.cert, a.cert, nil)
	var err error
	a.cert, err = x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// Signs a certificate for a new key; without a signer the key signs itself.
func sign(t *testing.T, cert, parent *x509.Certificate, signer *ecdsa.PrivateKey) ([]byte, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, parent, &key.PublicKey, signer)
	qt.Assert(t, err, qt.IsNil)
	return der, key
}

// Writes a certificate of the authority into a folder, and returns the settings
// that name it.
func (a *authority) issue(t *testing.T, dir string) config.Node {
	t.Helper()
	cert := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, key := sign(t, cert, a.cert, a.key)
	private, err := x509.MarshalECPrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	settings := config.Node{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	files := map[string][]byte{
		settings.Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		settings.Key:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}),
		settings.CA:   a.pem,
	}
	for name, data := range files {
		qt.Assert(t, os.WriteFile(name, data, 0o600), qt.IsNil)
	}
	return settings
}

// end is one node of a test.
type end struct {
	*peer.Net
	id   string
	got  chan string
	lost chan string
}

func newEnd(t *testing.T, cfg *tls.Config) *end {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e := &end{id: ln.Addr().String(), got: make(chan string, 10), lost: make(chan string, 10)}
	qt.Assert(t, ln.Close(), qt.IsNil)
	e.Net, err = peer.Listen(context.Background(), peer.Config{
		Self: &wire.Member{Id: e.id}, TLS: cfg,
		Deliver: func(from string, _ *wire.Frame) { e.got <- from },
		Lost:    func(id string) { e.lost <- id },
	})
	qt.Assert(t, err, qt.IsNil)
	done := e.Run()
	t.Cleanup(func() { e.Close(); <-done })
	return e
}

func load(t *testing.T, settings config.Node) *tls.Config {
	t.Helper()
	cfg, err := peerTLS(settings)
	qt.Assert(t, err, qt.IsNil)
	return cfg
}

// Reports whether a message gets from one node to another.
func reaches(t *testing.T, from, to *end) bool {
	t.Helper()
	from.Send(to.id, &wire.Frame{Body: &wire.Frame_Probe{Probe: &wire.Probe{}}})
	select {
	case <-to.got:
		return true
	case <-from.lost:
		return false
	case <-time.After(patience):
		t.Fatal("neither a message nor a loss")
	}
	return false
}

func TestSessionsNeedTheAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	a := newEnd(t, load(t, ours.issue(t, t.TempDir())))
	b := newEnd(t, load(t, ours.issue(t, t.TempDir())))
	stranger := newEnd(t, load(t, theirs.issue(t, t.TempDir())))
	plain := newEnd(t, nil)
	qt.Assert(t, reaches(t, a, b), qt.IsTrue)
	qt.Assert(t, reaches(t, stranger, b), qt.IsFalse)
	qt.Assert(t, reaches(t, b, stranger), qt.IsFalse)
	qt.Assert(t, reaches(t, plain, b), qt.IsFalse)
}

// A certificate and its authority are replaced in place.
func TestCertificateIsReloaded(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	r := newReloader(old.issue(t, dir))
	_, err := r.config()
	qt.Assert(t, err, qt.IsNil)
	before, _ := r.current(time.Now())
	next.issue(t, dir)
	same, _ := r.current(time.Now())
	qt.Assert(t, same, qt.Equals, before, qt.Commentf("the files are not read again at once"))
	after, pool := r.current(time.Now().Add(time.Minute))
	qt.Assert(t, after, qt.Not(qt.Equals), before)
	chain, err := x509.ParseCertificate(after.Certificate[0])
	qt.Assert(t, err, qt.IsNil)
	_, err = chain.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	qt.Assert(t, err, qt.IsNil)

	qt.Assert(t, os.Remove(filepath.Join(dir, "cert")), qt.IsNil)
	kept, _ := r.current(time.Now().Add(time.Hour))
	qt.Assert(t, kept, qt.Equals, after, qt.Commentf("files that cannot be read leave the earlier certificate in use"))
}
