package cli

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// tlsFiles are the PEM files of one side of TLS.
type tlsFiles struct {
	cert, key, ca string
}

// serverConfig is the TLS configuration towards callers, nil without a certificate.
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

// mutualConfig is the TLS configuration between routers, where each side shows a
// certificate of the same authorities; nil without a certificate.
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
		return nil, errors.Errorf("%s holds no certificate", f.ca)
	}
	conf.RootCAs, conf.ClientCAs = pool, pool
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	conf.MinVersion = tls.VersionTLS13
	return conf, nil
}
