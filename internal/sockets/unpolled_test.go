package sockets

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// listenRaw returns a listener with its socket.
func listenRaw(t *testing.T) (*net.TCPListener, syscall.RawConn) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	return ln.(*net.TCPListener), raw
}

// acceptOne accepts one connection unpolled and passes its descriptor to handle once
// something has arrived on it.
func acceptOne(t *testing.T, raw syscall.RawConn, handle func(fd int, arrived []byte)) {
	g := NewWithT(t)
	accepted := false
	g.Expect(AcceptUnpolled(raw, func() bool { return !accepted }, func(fd int) {
		accepted = true
		b := make([]byte, 16)
		g.Eventually(func() int {
			n, err := PeekUnpolled(fd, b)
			g.Expect(err).NotTo(HaveOccurred())
			return n
		}, 30*time.Second).Should(BeNumerically(">", 0))
		n, err := PeekUnpolled(fd, b)
		g.Expect(err).NotTo(HaveOccurred())
		handle(fd, b[:n])
	})).To(Succeed())
}

func TestUnpolledConnectionIsAnswered(t *testing.T) {
	g := NewWithT(t)
	ln, raw := listenRaw(t)
	c, err := net.Dial("tcp4", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "request")
	g.Expect(err).NotTo(HaveOccurred())
	acceptOne(t, raw, func(fd int, arrived []byte) {
		g.Expect(string(arrived)).To(Equal("request"))
		g.Expect(AnswerUnpolled(fd, arrived, []byte("answer"))).To(Succeed())
		g.Expect(CloseUnpolled(fd)).To(Succeed())
	})
	answer, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred(), "closed, not reset")
	g.Expect(string(answer)).To(Equal("answer"))
}

// TestLingererKeepsTheAnswer: a peer that goes on sending reads the answer all the same,
// and the connection is closed in the end.
func TestLingererKeepsTheAnswer(t *testing.T) {
	for name, leaves := range map[string]bool{"peer closes": true, "peer stays": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ln, raw := listenRaw(t)
			c, err := net.Dial("tcp4", ln.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			_, err = c.Write(bytes.Repeat([]byte("x"), 100_000))
			g.Expect(err).NotTo(HaveOccurred())
			var l Lingerer
			acceptOne(t, raw, func(fd int, arrived []byte) {
				g.Expect(AnswerUnpolled(fd, arrived, []byte("answer"))).To(Succeed())
				g.Expect(l.Close(fd, 300*time.Millisecond)).To(Succeed())
			})
			answer, err := io.ReadAll(c)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(answer)).To(Equal("answer"))
			if leaves {
				g.Expect(c.Close()).To(Succeed())
			}
			g.Eventually(func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return len(l.entries) == 0 && !l.running
			}, 30*time.Second).Should(BeTrue())
		})
	}
}

func TestPolledConnectionIsAnOrdinaryOne(t *testing.T) {
	g := NewWithT(t)
	ln, raw := listenRaw(t)
	c, err := net.Dial("tcp4", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "x")
	g.Expect(err).NotTo(HaveOccurred())
	acceptOne(t, raw, func(fd int, _ []byte) {
		polled, err := Polled(fd)
		g.Expect(err).NotTo(HaveOccurred())
		defer polled.Close()
		b := make([]byte, 1)
		_, err = io.ReadFull(polled, b)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(polled.SetReadDeadline(time.Now().Add(10 * time.Millisecond))).To(Succeed())
		_, err = polled.Read(b)
		g.Expect(err).To(HaveOccurred(), "the deadline holds")
	})
}

// TestAcceptUnpolledEndsWithItsListener: and goes on after a moment without connections.
func TestAcceptUnpolledEndsWithItsListener(t *testing.T) {
	g := NewWithT(t)
	ln, raw := listenRaw(t)
	ended := make(chan error, 1)
	go func() {
		ended <- AcceptUnpolled(raw, func() bool { return true }, func(fd int) { _ = CloseUnpolled(fd) })
	}()
	for range 3 {
		time.Sleep(5 * time.Millisecond)
		c, err := net.Dial("tcp4", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(c)
		g.Expect(err).NotTo(HaveOccurred())
		c.Close()
	}
	g.Expect(ln.Close()).To(Succeed())
	g.Eventually(ended, 30*time.Second).Should(Receive(HaveOccurred()))
}
