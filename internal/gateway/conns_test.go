package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/porttest"
)

func TestConns(t *testing.T) {
	g := NewWithT(t)
	c := newConns(10)
	var all []net.Conn
	for range 8 {
		near, far := net.Pipe()
		defer far.Close()
		all = append(all, near)
		c.onConnState(near, http.StateNew)
	}
	g.Expect(c.crowded()).To(BeTrue())
	g.Expect(c.full()).To(BeTrue())
	c.onConnState(all[0], http.StateActive)
	c.onConnState(all[1], http.StateActive)
	c.onConnState(all[1], http.StateIdle)
	now := time.Now()
	c.sweep(now, time.Second)
	g.Expect(c.idle).To(HaveLen(7))
	c.sweep(now.Add(2*time.Second), time.Second)
	g.Expect(c.idle).To(BeEmpty())
	_, err := all[2].Write([]byte("x"))
	g.Expect(err).To(MatchError("io: read/write on closed pipe"))
	for _, conn := range all[1:] {
		c.onConnState(conn, http.StateClosed)
	}
	g.Expect(c.crowded()).To(BeFalse())
	g.Expect(newConns(0).crowded()).To(BeFalse())
}

// A request that has arrived on an idle connection is read before the connection is
// closed, even if the connection has been idle for too long.
func TestConnsKeepUnreadRequests(t *testing.T) {
	g := NewWithT(t)
	conn, caller := porttest.ConnPair(t)
	c := newConns(10)
	c.onConnState(conn, http.StateNew)
	g.Expect(c.awaitNoPendingReads(t.Context())).To(Succeed())
	_, err := caller.Write([]byte("GET"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(c.hasUnread, time.Minute).Should(BeTrue())
	c.sweep(time.Now().Add(time.Hour), time.Second)
	b := make([]byte, 3)
	_, err = conn.Read(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.awaitNoPendingReads(t.Context())).To(Succeed())
	c.sweep(time.Now().Add(time.Hour), time.Second)
	_, err = conn.Write(b)
	g.Expect(err).To(MatchError(net.ErrClosed))
}

// While there are too many connections, those that have been idle for longest are
// closed, except for those with an unread request.
func TestConnsCloseTheLongestIdleWhenFull(t *testing.T) {
	g := NewWithT(t)
	c := newConns(10)
	var callers, all []net.Conn
	for range 10 {
		conn, caller := porttest.ConnPair(t)
		c.onConnState(conn, http.StateNew)
		callers, all = append(callers, caller), append(all, conn)
	}
	now := time.Now()
	for i, conn := range all {
		c.idle[conn] = now.Add(time.Duration(i-10) * time.Second)
	}
	_, err := callers[0].Write([]byte("GET"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(c.hasUnread, time.Minute).Should(BeTrue())
	g.Expect(c.full()).To(BeTrue())
	g.Expect(c.evictIdle(now, time.Minute)).To(Equal([]net.Conn{all[1], all[2]}))
	for _, conn := range all[1:3] {
		c.onConnState(conn, http.StateClosed)
	}
	g.Expect(c.evictIdle(now, time.Minute)).To(BeEmpty())
	g.Expect(c.evictIdle(now, 6500*time.Millisecond)).To(Equal([]net.Conn{all[3]}))
}

func TestMaxConns(t *testing.T) {
	g := NewWithT(t)
	g.Expect(maxConns(0, 0)).To(BeZero())
	g.Expect(maxConns(4100, 0)).To(Equal(4100))
	g.Expect(maxConns(0, 96<<20)).To(Equal(2048))
	g.Expect(maxConns(4100, 96<<20)).To(Equal(2048))
	g.Expect(maxConns(1000, 96<<20)).To(Equal(1000))
}
