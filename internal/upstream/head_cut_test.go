package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
)

// Answers are cut after each byte of their heads.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"length first": "HTTP/1.1 200 OK\r\nContent-Length: 120\r\nX-Run: 1\r\n\r\n",
		"length last":  "HTTP/1.1 200 OK\r\nX-Run: 1\r\nContent-Length: 120\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until close":  "HTTP/1.1 200 OK\r\nX-Run: 1\r\nConnection: close\r\n\r\n",
		"after 1xx":    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 120\r\n\r\n",
	} {
		for _, kind := range []config.Kind{config.Plain, config.Model} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
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
							defer conn.Close()
							if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
								_, err = io.WriteString(conn, answer[:n])
							}
						}
						served <- err
					}()
					a, f := newClient(t).Do(context.Background(), &Request{
						Addr: ln.Addr().String(), Method: "POST", Path: "/", Service: kind, NewConn: true,
					})
					g.Expect(f).NotTo(BeNil(), "cut after %q: %+v", answer[:n], a)
					g.Expect(<-served).NotTo(HaveOccurred())
				}
			})
		}
	}
}
