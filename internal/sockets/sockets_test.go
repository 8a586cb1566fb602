package sockets

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestConnectionState(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	dialer := net.Dialer{Control: UserTimeout(time.Second)}
	near, err := dialer.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer near.Close()
	far, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(IsIdle(near)).To(BeTrue())
	g.Expect(ClosedByPeer(near)).To(BeFalse())
	g.Expect(HasUnread(near)).To(BeFalse())
	_, err = far.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return IsIdle(near) }, 30*time.Second).Should(BeFalse())
	g.Expect(ClosedByPeer(near)).To(BeFalse())
	g.Expect(HasUnread(near)).To(BeTrue())
	_, err = near.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	far.Close()
	g.Eventually(func() bool { return ClosedByPeer(near) }, 30*time.Second).Should(BeTrue())
	g.Expect(IsIdle(near)).To(BeFalse())
	g.Expect(HasUnread(near)).To(BeFalse())
}
