package linker

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/fault"
)

// secrets holds the TLS files of this node and reads them again when one has changed.
type secrets struct {
	cert, key, ca string
	current       atomic.Pointer[material]
}

// material is one reading of the files.
type material struct {
	changed     [3]time.Time
	certificate tls.Certificate
	authorities *x509.CertPool
}

func newSecrets(cert, key, ca string) (*secrets, error) {
	s := &secrets{cert: cert, key: key, ca: ca}
	m, err := s.read()
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	return s, nil
}

func (s *secrets) modified() ([3]time.Time, error) {
	var times [3]time.Time
	for i, file := range []string{s.cert, s.key, s.ca} {
		info, err := os.Stat(file)
		if err != nil {
			return times, err
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (s *secrets) read() (*material, error) {
	changed, err := s.modified()
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "cannot read the TLS files", "check --link-cert, --link-key and --link-ca")
	}
	certificate, err := tls.LoadX509KeyPair(s.cert, s.key)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "cannot use the certificate", "check --link-cert and --link-key")
	}
	pem, err := os.ReadFile(s.ca)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "cannot read the authorities", "check --link-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.Invalid, "--link-ca has no certificate", "write one or more in PEM")
	}
	return &material{changed: changed, certificate: certificate, authorities: pool}, nil
}

// material returns the files' current content; unusable changes leave the last usable content in force.
func (s *secrets) material() *material {
	m := s.current.Load()
	changed, err := s.modified()
	if err != nil || changed == m.changed {
		return m
	}
	fresh, err := s.read()
	if err != nil {
		return m
	}
	s.current.Store(fresh)
	return fresh
}

// client returns the settings of one dial; the peer's certificate must name its IP address.
func (s *secrets) client() *tls.Config {
	m := s.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
	}
}

// listener requires a certificate of every dialer.
func (s *secrets) listener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.material()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.authorities,
			}, nil
		},
	})
}
