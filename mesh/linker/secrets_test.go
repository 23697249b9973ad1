package linker

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

	"github.com/fasthttp/websocket"

	"wisteriaspoke.example/mesh/fault"
)

// authority signs certificates for the loopback address.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := must(x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key))
	a.certificate = must(x509.ParseCertificate(der))
	return a
}

// writeFiles puts a new certificate, its key and the authority into the directory, with the given modification time.
func (a *authority) writeFiles(t *testing.T, directory string, changed time.Time) {
	t.Helper()
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der := must(x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key))
	for name, block := range map[string]*pem.Block{
		"cert": {Type: "CERTIFICATE", Bytes: der},
		"key":  {Type: "PRIVATE KEY", Bytes: must(x509.MarshalPKCS8PrivateKey(key))},
		"ca":   {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		file := filepath.Join(directory, name)
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(file, changed, changed); err != nil {
			t.Fatal(err)
		}
	}
}

func withTLS(directory string) func(*Linker, *fake) {
	return func(l *Linker, _ *fake) {
		l.LinkCert = filepath.Join(directory, "cert")
		l.LinkKey = filepath.Join(directory, "key")
		l.LinkCA = filepath.Join(directory, "ca")
	}
}

// TestTLSFiles guards against links without a certificate or with one of another authority, and against files that are
// not read again after a change.
func TestTLSFiles(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	first, second := t.TempDir(), t.TempDir()
	ours.writeFiles(t, first, time.Unix(1000, 0))
	theirs.writeFiles(t, second, time.Unix(1000, 0))
	a, b := newNode(t, withTLS(first)), newNode(t, withTLS(first))
	stranger, open := newNode(t, withTLS(second)), newNode(t)
	if _, err := a.Call(t.Context(), b.Address(), newCall("")); err != nil {
		t.Errorf("nodes of one authority: %v", err)
	}
	_, err := stranger.Call(t.Context(), b.Address(), newCall(""))
	wantKind(t, err, fault.NotRun)
	_, err = open.Call(t.Context(), b.Address(), newCall(""))
	wantKind(t, err, fault.NotRun)
	anonymous := websocket.Dialer{TLSClientConfig: &tls.Config{RootCAs: b.tlsFiles.latest().authorities}}
	if _, _, err := anonymous.Dial("wss://"+b.Address()+"/link", nil); err == nil {
		t.Error("a dialer without a certificate was accepted")
	}
	// The stranger's authority replaces the first one in the files of a and b.
	theirs.writeFiles(t, first, time.Unix(2000, 0))
	fresh := newNode(t, withTLS(second))
	if _, err := fresh.Call(t.Context(), b.Address(), newCall("")); err != nil {
		t.Errorf("after the change of the files: %v", err)
	}
}

// TestUnusableTLSFilesKeepLast guards against the loss of links after an unusable change of the files, such as a half
// written one.
func TestUnusableTLSFilesKeepLast(t *testing.T) {
	directory := t.TempDir()
	newAuthority(t).writeFiles(t, directory, time.Unix(1000, 0))
	a, b := newNode(t, withTLS(directory)), newNode(t, withTLS(directory))
	if err := os.WriteFile(filepath.Join(directory, "cert"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Call(t.Context(), b.Address(), newCall("")); err != nil {
		t.Error(err)
	}
}
