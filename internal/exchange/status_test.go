package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestStatusThatIsNoneIsNoAnswer guards against an answer whose status is none of HTTP's being
// forwarded, or being skipped so that its body is taken for the answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	hidden := "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 6\r\n\r\nhidden"
	bodies := map[string]string{
		"no body":        "\r\n",
		"empty":          "Content-Length: 0\r\n\r\n",
		"length":         "Content-Length: 3\r\n\r\nabc",
		"chunks":         "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"hidden answer":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"hidden, chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden),
	}
	ask := func(t *testing.T, answer string) (*Response, *Failure) {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
			_, _ = io.Copy(io.Discard, conn) // stays open until the client closes
		}()
		return New(0).Begin(&Request{
			Addr: ln.Addr().String(), Method: "GET", Target: "/", Host: "h", Header: http.Header{},
			OwnsResponse: func(int, http.Header) Ownership { return Owned }, Deadline: time.Now().Add(3 * time.Second),
		}).Run()
	}
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for name, body := range bodies {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				g, started := NewWithT(t), time.Now()
				resp, failure := ask(t, "HTTP/1.1 "+status+" X\r\nId: id\r\n"+body)
				g.Expect(failure).NotTo(BeNil(), "%+v", resp)
				g.Expect(failure.Sent).To(BeTrue())
				g.Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second), "an answer that is none is not waited for")
			})
		}
	}
	for _, status := range []string{"100", "103", "199"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			resp, failure := ask(t, "HTTP/1.1 "+status+" X\r\nLink: x\r\n\r\n"+hidden)
			g.Expect(failure).To(BeNil(), "informational responses are skipped")
			g.Expect(resp.Status).To(Equal(200))
			resp.Close()
			for name, body := range bodies {
				if name == "no body" {
					continue
				}
				_, failure := ask(t, "HTTP/1.1 "+status+" X\r\n"+body+strings.Repeat(hidden, 2))
				g.Expect(failure).NotTo(BeNil(), "informational responses have no body: %s", name)
			}
		})
	}
}
