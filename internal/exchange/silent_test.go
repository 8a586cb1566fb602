package exchange

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/porttest"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

// TestUnreadBytesPreventAbort checks that AbortIfSilent does not abort an exchange
// whose response is waiting to be read, and aborts one without such data.
func TestUnreadBytesPreventAbort(t *testing.T) {
	g := NewWithT(t)
	near, far := porttest.ConnPair(t)
	e := New(0).Begin(&Request{Deadline: time.Now().Add(time.Minute)})
	e.attach(&conn{Conn: near})
	_, err := far.Write([]byte("H"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return sockets.IsIdle(near) }).Should(BeFalse())
	g.Expect(e.AbortIfSilent()).To(BeFalse())
	_, err = near.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.AbortIfSilent()).To(BeTrue())
}

func TestNothingIsSentToUpstreamThatLeftMeanwhile(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	received := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		b, err := io.ReadAll(conn)
		if err != nil {
			t.Error(err)
		}
		received <- len(b)
	}()
	_, failure := New(0).Begin(&Request{
		Addr: ln.Addr().String(), Method: "POST", Target: "/", Deadline: time.Now().Add(time.Minute), MaySend: func() bool { return false },
	}).Run()
	g.Expect(failure).To(HaveField("Kind", core.FailDial))
	g.Expect(failure.Sent).To(BeFalse())
	g.Eventually(received).Should(Receive(Equal(0)))
}
