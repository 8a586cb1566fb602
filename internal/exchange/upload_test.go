package exchange

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/holding"
)

// unframedHead is the head of an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: id\r\n\r\n"

// readHead reads a request's head, byte by byte so that none of the body is read.
func readHead(conn net.Conn) error {
	var head []byte
	b := make([]byte, 1)
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		if _, err := conn.Read(b); err != nil {
			return err
		}
		head = append(head, b[0])
	}
	return nil
}

// uploadTo sends a request with a body of 4 MiB to an upstream that treats its connection as serve
// does, and returns the body of the answer.
func uploadTo(t *testing.T, serve func(*net.TCPConn) error) (string, *Failure) {
	t.Helper()
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			err = serve(conn.(*net.TCPConn))
		}
		served <- err
	}()
	resp, failure := New(0).Begin(&Request{
		Addr: ln.Addr().String(), Method: "POST", Target: "/", Host: "h", Header: http.Header{},
		Body:         holding.Body{bytes.Repeat([]byte("x"), 4<<20)},
		OwnsResponse: func(int, http.Header) Ownership { return Owned }, Deadline: time.Now().Add(20 * time.Second),
	}).Run()
	defer func() { g.Expect(<-served).NotTo(HaveOccurred()) }()
	if failure != nil {
		return "", failure
	}
	defer resp.Close()
	body, failure := resp.ReadAll(1 << 20)
	return string(body.Bytes()), failure
}

// TestAnswerResetDuringItsUploadIsNotWhole guards against the part of an answer without a length
// being taken for the whole one: the writer of the request's body may be told of the reset, and
// the reader then of an ordinary end.
func TestAnswerResetDuringItsUploadIsNotWhole(t *testing.T) {
	for range 60 {
		g := NewWithT(t)
		body, failure := uploadTo(t, func(conn *net.TCPConn) error {
			defer conn.Close()
			if err := readHead(conn); err != nil {
				return err
			}
			_, err := io.WriteString(conn, unframedHead+"part")
			time.Sleep(15 * time.Millisecond)
			_ = conn.SetLinger(0)
			return err
		})
		g.Expect(failure).NotTo(BeNil(), "%q was taken for a whole answer", body)
		g.Expect(failure.Sent).To(BeTrue())
	}
}

// An answer without a length is whole if its connection ends in order, also where the rest of the
// request's body is read after it, as upstreams may do.
func TestAnswerBeforeTheEndOfItsUploadIsWhole(t *testing.T) {
	answer := strings.Repeat("answer", 100)
	for name, readFirst := range map[string]bool{"body read before": true, "body read after": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			body, failure := uploadTo(t, func(conn *net.TCPConn) error {
				defer conn.Close()
				if err := readHead(conn); err != nil {
					return err
				}
				readBody := func() error { _, err := io.CopyN(io.Discard, conn, 4<<20); return err }
				if readFirst {
					if err := readBody(); err != nil {
						return err
					}
				}
				if _, err := io.WriteString(conn, unframedHead+answer); err != nil {
					return err
				}
				if err := conn.CloseWrite(); err != nil || readFirst {
					return err
				}
				time.Sleep(50 * time.Millisecond)
				return readBody()
			})
			g.Expect(failure).To(BeNil())
			g.Expect(body).To(Equal(answer))
		})
	}
}

// A reset that the check for silence is told of is not forgotten.
func TestResetSeenByTheCheckForSilenceIsKept(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_ = readHead(conn)
			_, _ = io.WriteString(conn, unframedHead+"part")
			time.Sleep(10 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}()
		x := New(0).Begin(&Request{
			Addr: ln.Addr().String(), Method: "GET", Target: "/", Host: "h", Header: http.Header{},
			OwnsResponse: func(int, http.Header) Ownership { return Owned }, Deadline: time.Now().Add(20 * time.Second),
		})
		resp, failure := x.Run()
		g.Expect(failure).To(BeNil())
		time.Sleep(30 * time.Millisecond)
		x.AbortIfSilent()
		_, failure = resp.ReadAll(100)
		g.Expect(failure).NotTo(BeNil())
		resp.Close()
		ln.Close()
	}
}
