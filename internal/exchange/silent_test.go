package exchange

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
