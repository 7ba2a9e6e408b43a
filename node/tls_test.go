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

const testTimeout = 20 * time.Second

// authority is a certificate authority that signs the certificates of test nodes.
type authority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM []byte
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
	a.certPEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// sign returns a certificate for a new key, in DER form, and the key. Without a
// signer the certificate is self-signed.
func sign(t *testing.T, template, parent *x509.Certificate, signer *ecdsa.PrivateKey) ([]byte, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	qt.Assert(t, err, qt.IsNil)
	return der, key
}

// issue writes a certificate signed by the authority, its key and the authority
// itself to files in dir, and returns settings that name the files.
func (a *authority) issue(t *testing.T, dir string) config.Node {
	t.Helper()
	cert := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, key := sign(t, cert, a.cert, a.key)
	keyDER, err := x509.MarshalECPrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	settings := config.Node{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca")}
	files := map[string][]byte{
		settings.CertFile: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		settings.KeyFile:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		settings.CAFile:   a.certPEM,
	}
	for name, data := range files {
		qt.Assert(t, os.WriteFile(name, data, 0o600), qt.IsNil)
	}
	return settings
}

// testNode is a running peer.Transport, with the senders of the frames that it
// received and the peers that it reported as lost.
type testNode struct {
	*peer.Transport
	id       string
	received chan string // ids of senders
	lost     chan string // ids of peers
}

func newTestNode(t *testing.T, cfg *tls.Config) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	n := &testNode{id: ln.Addr().String(), received: make(chan string, 10), lost: make(chan string, 10)}
	qt.Assert(t, ln.Close(), qt.IsNil)
	n.Transport, err = peer.Listen(context.Background(), peer.Config{
		Self: &wire.Member{Id: n.id}, TLS: cfg,
		OnFrame:    func(from string, _ *wire.Frame) { n.received <- from },
		OnPeerLost: func(id string) { n.lost <- id },
	})
	qt.Assert(t, err, qt.IsNil)
	done := n.Run()
	t.Cleanup(func() { n.Close(); <-done })
	return n
}

func mustPeerTLS(t *testing.T, settings config.Node) *tls.Config {
	t.Helper()
	cfg, err := peerTLS(settings)
	qt.Assert(t, err, qt.IsNil)
	return cfg
}

// reaches reports whether a frame that one node sends arrives at another, rather
// than the sender losing the peer.
func reaches(t *testing.T, from, to *testNode) bool {
	t.Helper()
	from.Send(to.id, &wire.Frame{Body: &wire.Frame_Probe{Probe: &wire.Probe{}}})
	select {
	case <-to.received:
		return true
	case <-from.lost:
		return false
	case <-time.After(testTimeout):
		t.Fatal("neither did the frame arrive nor was the peer reported as lost")
	}
	return false
}

// TestSessionsRequireTrustedCertificate checks that a node reaches another one of
// its authority, that neither side of a session accepts a node of another
// authority, and that a node without TLS is rejected.
func TestSessionsRequireTrustedCertificate(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	a := newTestNode(t, mustPeerTLS(t, ours.issue(t, t.TempDir())))
	b := newTestNode(t, mustPeerTLS(t, ours.issue(t, t.TempDir())))
	foreign := newTestNode(t, mustPeerTLS(t, theirs.issue(t, t.TempDir())))
	plain := newTestNode(t, nil)
	qt.Assert(t, reaches(t, a, b), qt.IsTrue)
	qt.Assert(t, reaches(t, foreign, b), qt.IsFalse)
	qt.Assert(t, reaches(t, b, foreign), qt.IsFalse)
	qt.Assert(t, reaches(t, plain, b), qt.IsFalse)
}

// TestCertificateIsReloaded checks that replaced files are read after the reload
// interval, and that the certificate stays in use when a file is missing.
func TestCertificateIsReloaded(t *testing.T) {
	previous, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	r := newCertReloader(previous.issue(t, dir))
	_, err := r.tlsConfig()
	qt.Assert(t, err, qt.IsNil)
	before, _ := r.current(time.Now())
	next.issue(t, dir)
	cached, _ := r.current(time.Now())
	qt.Assert(t, cached, qt.Equals, before, qt.Commentf("the files must not be read again within the reload interval"))
	after, pool := r.current(time.Now().Add(time.Minute))
	qt.Assert(t, after, qt.Not(qt.Equals), before)
	leaf, err := x509.ParseCertificate(after.Certificate[0])
	qt.Assert(t, err, qt.IsNil)
	_, err = leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	qt.Assert(t, err, qt.IsNil)

	qt.Assert(t, os.Remove(filepath.Join(dir, "cert")), qt.IsNil)
	kept, _ := r.current(time.Now().Add(time.Hour))
	qt.Assert(t, kept, qt.Equals, after, qt.Commentf("the certificate must stay in use when its file cannot be read"))
}
