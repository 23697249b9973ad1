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

// tlsFiles holds the paths of this node's TLS files and reads the files again when one has changed.
type tlsFiles struct {
	cert, key, ca string
	cached        atomic.Pointer[tlsMaterial]
}

// tlsMaterial is the content of the files at one time.
type tlsMaterial struct {
	modTimes    [3]time.Time
	certificate tls.Certificate
	authorities *x509.CertPool
}

func newTLSFiles(cert, key, ca string) (*tlsFiles, error) {
	s := &tlsFiles{cert: cert, key: key, ca: ca}
	m, err := s.read()
	if err != nil {
		return nil, err
	}
	s.cached.Store(m)
	return s, nil
}

func (s *tlsFiles) readModTimes() ([3]time.Time, error) {
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

func (s *tlsFiles) read() (*tlsMaterial, error) {
	modTimes, err := s.readModTimes()
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
	return &tlsMaterial{modTimes: modTimes, certificate: certificate, authorities: pool}, nil
}

// latest returns the files' current content, or the last usable content if the current one cannot be used.
func (s *tlsFiles) latest() *tlsMaterial {
	m := s.cached.Load()
	modTimes, err := s.readModTimes()
	if err != nil || modTimes == m.modTimes {
		return m
	}
	updated, err := s.read()
	if err != nil {
		return m
	}
	s.cached.Store(updated)
	return updated
}

// clientConfig returns the TLS configuration of one dial; the peer's certificate must contain its IP address.
func (s *tlsFiles) clientConfig() *tls.Config {
	m := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
	}
}

// wrapListener returns a TLS listener that requires a certificate from every dialer.
func (s *tlsFiles) wrapListener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.latest()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.authorities,
			}, nil
		},
	})
}
