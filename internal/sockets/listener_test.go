package sockets

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestStopListeningLosesNoEstablishedConnection checks that connections established
// before StopListening are still accepted and answered, and that later dials fail.
func TestStopListeningLosesNoEstablishedConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	ln := listener.(*net.TCPListener)
	var callers []net.Conn
	for range 20 {
		c, err := net.Dial("tcp4", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		callers = append(callers, c)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- StopListening(t.Context(), ln) }()
	for range callers {
		c, err := ln.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Write([]byte("x"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Close()).To(Succeed())
	}
	g.Expect(<-stopped).To(Succeed())
	for _, c := range callers {
		answer, err := io.ReadAll(c)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer)).To(Equal("x"))
	}
	_, err = net.DialTimeout("tcp4", ln.Addr().String(), time.Second)
	g.Expect(err).To(HaveOccurred())
}

func TestStopListeningIsBounded(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	c, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	g.Expect(StopListening(ctx, listener.(*net.TCPListener))).To(MatchError(context.DeadlineExceeded))
}
