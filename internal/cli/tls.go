package cli

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// tlsFiles are the paths of the PEM files for one listener.
type tlsFiles struct {
	cert, key, ca string
}

// serverConfig returns the TLS configuration of a server for callers, nil if no
// certificate is set.
func (f tlsFiles) serverConfig() (*tls.Config, error) {
	if f.cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// mutualConfig returns the configuration for mutual TLS between routers, where both
// sides present a certificate issued by one of the authorities in ca. It is nil if
// no certificate is set.
func (f tlsFiles) mutualConfig() (*tls.Config, error) {
	conf, err := f.serverConfig()
	if conf == nil || err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s contains no PEM certificate", f.ca)
	}
	conf.RootCAs, conf.ClientCAs = pool, pool
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	conf.MinVersion = tls.VersionTLS13
	return conf, nil
}
