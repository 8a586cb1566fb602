package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// TestStatusThatIsNoneIsAFailure guards against an answer whose status is none of HTTP's being
// taken for that of the service, and an order so answered for one that was carried out.
func TestStatusThatIsNoneIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, body := range map[string]string{"no body": "\r\n", "length": "Content-Length: 3\r\n\r\nabc", "chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"} {
			for _, kind := range []config.Kind{config.Plain, config.Model} {
				t.Run(fmt.Sprint(status, ", ", name, ", ", kind), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					addr := answerAll(t, "HTTP/1.1 "+status+" X\r\n"+body)
					a, f := newClient(t).Do(context.Background(), &Request{
						Addr: addr, Method: "POST", Path: "/", Body: []byte("body"), Service: kind,
					})
					g.Expect(a).To(BeNil())
					g.Expect(f.Sent).To(BeTrue())
					g.Expect(f.Kind).To(BeElementOf(core.FailStatus, core.FailReset))
					o := loadOrder(addr, `["A"]`, 5)
					o.Deadline = time.Now().Add(time.Second)
					g.Expect(NewOrderClient().Send(context.Background(), o)).NotTo(Equal(core.OrderApplied))
				})
			}
		}
	}
}

// answerAll starts a server that gives each request the same bytes for an answer and closes its
// connection, and returns its address.
func answerAll(t *testing.T, answer string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return ln.Addr().String()
}
