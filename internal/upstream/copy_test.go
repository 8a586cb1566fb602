package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// A second copy of an answer that comes on a connection in use again is not taken for the
// answer to the next request.
func TestLateCopyIsNotTheNextAnswer(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn)
		}
	}()
	c := newClient(t)
	for i := range 6 {
		id := fmt.Sprint("r", i)
		a, f := c.Do(context.Background(), &Request{Addr: ln.Addr().String(), Method: "GET", Path: "/" + id, Service: config.Plain, RequestID: core.RequestID(id)})
		if f != nil {
			// A failure is retried; it is no wrong answer.
			continue
		}
		data, _, f := readAll(a)
		a.Close()
		if f == nil {
			g.Expect(data).To(Equal("answer to /" + id))
		}
	}
}

// answerTwice answers each request on a connection, after a copy of the answer before.
func answerTwice(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body := "answer to " + r.URL.Path
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, last+answer); err != nil {
			return
		}
		last = answer
	}
}
