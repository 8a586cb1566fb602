package upstream

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// newPipe returns a tracked connection and its far end.
func newPipe(t *testing.T) (*conn, net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	return newConnTracker().add("a", near), far
}

func TestSealedConnectionWritesNothing(t *testing.T) {
	g := NewWithT(t)
	c, far := newPipe(t)
	owner := &guard{}
	c.assign(owner)
	g.Expect(c.seal(owner)).To(BeFalse())
	_, err := c.Write([]byte("late"))
	g.Expect(err).To(MatchError(errSealed))
	_, err = far.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

func TestWriteThatBeganCounts(t *testing.T) {
	g := NewWithT(t)
	c, far := newPipe(t)
	owner := &guard{}
	c.assign(owner)
	go func() { _, _ = far.Read(make([]byte, 1)) }()
	_, err := c.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.seal(owner)).To(BeTrue())
}

func TestOnlyOwnerSeals(t *testing.T) {
	g := NewWithT(t)
	c, _ := newPipe(t)
	old, next := &guard{}, &guard{}
	c.assign(old)
	c.assign(next)
	g.Expect(c.seal(old)).To(BeTrue())
	c.release(old)
	c.sealIdle()
	g.Expect(c.beginWrite()).To(BeTrue())
	c.release(next)
	c.sealIdle()
	g.Expect(c.beginWrite()).To(BeFalse())
	g.Expect(c.tracker.conns).To(BeEmpty())
}
