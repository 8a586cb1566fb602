package exchange

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A probe tells an upstream that has ended from one that listens, and leaves a connection
// for the next request.
func TestProbe(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := ln.Addr().String()
	c := New(0)
	g.Expect(c.Probe(context.Background(), addr)).To(BeNil())
	kept, err := c.pool.get(context.Background(), addr, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	defer kept.Close()
	g.Expect(kept.reused).To(BeTrue())
	ln.Close()
	failure := c.Probe(context.Background(), addr)
	g.Expect(failure).NotTo(BeNil())
	g.Expect(failure.Unreachable()).To(BeTrue())
}
