package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fleetTLS returns a mutual TLS configuration with a new self-signed certificate.
func fleetTLS(t *testing.T) *tls.Config {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

func TestTLS(t *testing.T) {
	g := NewWithT(t)
	config := fleetTLS(t)
	secure := func(o *Options) { o.TLS = config }
	a, b := startNode(t, "a", secure), startNode(t, "b", secure)
	a.Dial(b.addr)
	g.Eventually(a.recordedEvents, eventTimeout).Should(Equal([]string{"up b.1"}))
	g.Expect(a.Send(b.id, pingMessage(1))).To(BeTrue())
	g.Eventually(b.received, eventTimeout).Should(HaveLen(1))

	plain := startNode(t, "c", shortTimeouts)
	plain.Dial(b.addr)
	g.Eventually(plain.recordedEvents, eventTimeout).Should(Equal([]string{"failed"}))
	otherConfig := fleetTLS(t)
	other := startNode(t, "d", func(o *Options) { o.TLS = otherConfig })
	other.Dial(b.addr)
	g.Eventually(other.recordedEvents, eventTimeout).Should(Equal([]string{"failed"}))
	g.Expect(b.recordedEvents()).To(Equal([]string{"up a.1"}))
}
