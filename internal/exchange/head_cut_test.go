package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// cutAnswers are answers that a faulty upstream breaks off in their head.
var cutAnswers = map[string]string{
	"length first": "HTTP/1.1 200 OK\r\nContent-Length: 120\r\nSeal: s\r\nId: id\r\n\r\n",
	"length last":  "HTTP/1.1 200 OK\r\nSeal: s\r\nId: id\r\nContent-Length: 120\r\n\r\n",
	"chunks":       "HTTP/1.1 200 OK\r\nSeal: s\r\nId: id\r\nTransfer-Encoding: chunked\r\n\r\n",
	"until close":  "HTTP/1.1 200 OK\r\nSeal: s\r\nId: id\r\nConnection: close\r\n\r\n",
	"after 1xx":    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 120\r\n\r\n",
	"bare LF":      "HTTP/1.1 200 OK\nSeal: s\nContent-Length: 120\n\n",
}

// serveCut answers the requests of a connection: all but the last one whole, the last one with the
// first n bytes of an answer. It then closes the connection.
func serveCut(conn net.Conn, whole int, answer string) error {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range whole + 1 {
		if _, err := http.ReadRequest(r); err != nil {
			return err
		}
		if i == whole {
			_, err := io.WriteString(conn, answer)
			return err
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return err
		}
	}
	return nil
}

// Answers are cut after each byte of their heads.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	for name, answer := range cutAnswers {
		for whole := range 2 {
			t.Run(fmt.Sprintf("%s, after %d answers", name, whole), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				ln, err := net.Listen("tcp4", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				defer ln.Close()
				for n := range len(answer) {
					served := make(chan error, 1)
					go func() {
						conn, err := ln.Accept()
						if err == nil {
							err = serveCut(conn, whole, answer[:n])
						}
						served <- err
					}()
					client := New(0)
					send := func() (*Response, *Failure) {
						return client.Begin(&Request{
							Addr: ln.Addr().String(), Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Repeatable: true,
							OwnsResponse: func(int, http.Header) Ownership { return Owned }, Deadline: time.Now().Add(10 * time.Second),
						}).Run()
					}
					for range whole {
						resp, failure := send()
						g.Expect(failure).To(BeNil())
						body, failure := resp.ReadAll(10)
						g.Expect(failure).To(BeNil())
						g.Expect(string(body.Bytes())).To(Equal("ok"))
						resp.Close()
					}
					resp, failure := send()
					g.Expect(failure).NotTo(BeNil(), "cut after %q: %+v", answer[:n], resp)
					g.Expect(failure.Sent).To(BeTrue())
					g.Expect(<-served).NotTo(HaveOccurred())
				}
			})
		}
	}
}
