package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/holding"
)

// scriptedServer answers requests, by their id and their place on the connection, with
// scripted bytes. A pause in a script is written as "~" and lasts pause.
type scriptedServer struct {
	addr string
	// connections receives a value for each connection.
	connections chan struct{}
}

const pause = 60 * time.Millisecond

func startScriptedServer(t *testing.T, answer func(id string, nth int) string) *scriptedServer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { ln.Close() })
	s := &scriptedServer{addr: ln.Addr().String(), connections: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.connections <- struct{}{}
			go serveScript(c, answer)
		}
	}()
	return s
}

func serveScript(c net.Conn, answer func(id string, nth int) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for nth := 1; ; nth++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		for i, part := range strings.Split(answer(r.Header.Get("X-Id"), nth), "~") {
			if i > 0 {
				time.Sleep(pause)
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}
}

// answerTo is an answer that carries a request's id, and anonymousRefusal one that carries none.
func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

const anonymousRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// refusalTo is a refusal that carries a request's id.
func refusalTo(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// exchangeWith sends a request and returns the status and body of the response in use.
func exchangeWith(c *Client, addr, id, body string) (status int, text string, failure *Failure) {
	resp, failure := c.Begin(&Request{
		Addr: addr, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, Body: holding.Body{[]byte(body)},
		OwnsResponse: func(status int, h http.Header) Ownership {
			switch got := h.Get("X-Id"); {
			case got == id:
				return Owned
			case got == "" && status >= http.StatusMultipleChoices:
				return Anonymous
			}
			return Foreign
		},
		Deadline: time.Now().Add(5 * time.Second),
	}).Run()
	if failure != nil {
		return 0, "", failure
	}
	defer resp.Close()
	all, failure := resp.ReadAll(1 << 20)
	return resp.Status, string(all.Bytes()), failure
}

// TestLateCopyOfAnAnswer: whatever a server sends a second time, and however late, the
// next request on the client gets its own answer or an error.
func TestLateCopyOfAnAnswer(t *testing.T) {
	copyOfFirst := answerTo("1", "first")
	for name, second := range map[string]string{
		"before the own answer":         copyOfFirst + answerTo("2", "second"),
		"two copies":                    copyOfFirst + copyOfFirst + answerTo("2", "second"),
		"split over packets":            copyOfFirst[:9] + "~" + copyOfFirst[9:40] + "~" + copyOfFirst[40:] + "~" + answerTo("2", "second"),
		"the end of a copy":             copyOfFirst[20:] + answerTo("2", "second"),
		"a copy of a refusal, nameless": anonymousRefusal + answerTo("2", "second"),
		"a copy of a refusal, named":    refusalTo("1") + answerTo("2", "second"),
		"a refusal's copy split":        refusalTo("1")[:30] + "~" + refusalTo("1")[30:] + "~" + answerTo("2", "second"),
	} {
		for _, first := range []struct{ name, answer string }{
			{"answer", copyOfFirst},
			{"refusal", anonymousRefusal},
			{"named refusal", refusalTo("1")},
			{"named refusal and a copy while idle", refusalTo("1") + "~" + refusalTo("1")},
			{"answer and a part of its copy", copyOfFirst + copyOfFirst[:30]},
			{"answer and a copy while idle", copyOfFirst + "~" + copyOfFirst},
		} {
			if strings.Contains(name, "nameless") && first.name != "refusal" {
				// Without an earlier refusal there is nothing that this is a copy of.
				continue
			}
			t.Run(name+" after "+first.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := startScriptedServer(t, func(id string, nth int) string {
					switch {
					case id == "1":
						return first.answer
					case id == "2" && nth > 1:
						return second
					case id == "2":
						return answerTo(id, "second")
					}
					return answerTo(id, "later")
				})
				c := New(0)
				_, _, failure := exchangeWith(c, s.addr, "1", "")
				g.Expect(failure).To(BeNil())
				time.Sleep(2 * pause)
				status, body, failure := exchangeWith(c, s.addr, "2", "")
				if failure != nil {
					g.Expect(failure.Sent).To(BeTrue(), "the server has the request")
				} else {
					g.Expect(status).To(Equal(200))
					g.Expect(body).To(Equal("second"))
				}
				status, body, failure = exchangeWith(c, s.addr, "3", "")
				g.Expect(failure).To(BeNil())
				g.Expect(status).To(Equal(200))
				g.Expect(body).To(Equal("later"))
			})
		}
	}
}

// TestConnectionIsNotReusedAfterDoubt: a connection whose last request was cancelled,
// answered before its body was read, or answered without a name carries no other request.
func TestConnectionIsNotReusedAfterDoubt(t *testing.T) {
	for name, x := range map[string]struct {
		answer string
		body   string
	}{
		"answered without a name": {anonymousRefusal, ""},
		"ended by its end":        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", ""},
		"followed by bytes":       {answerTo("1", "first") + "x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startScriptedServer(t, func(id string, _ int) string {
				if id == "1" {
					return x.answer
				}
				return answerTo(id, "later")
			})
			c := New(0)
			_, _, failure := exchangeWith(c, s.addr, "1", x.body)
			g.Expect(failure).To(BeNil())
			_, body, failure := exchangeWith(c, s.addr, "2", "")
			g.Expect(failure).To(BeNil())
			g.Expect(body).To(Equal("later"))
			g.Expect(s.connections).To(HaveLen(2))
		})
	}
}

// TestEarlyAnswerEndsTheConnection: an upstream that answers before it has read a long
// body must not get another request where the rest of that body is due.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	got := make(chan string, 4)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				id := r.Header.Get("X-Id")
				_, _ = io.WriteString(c, answerTo(id, "early"))
				time.Sleep(pause)
				rest, _ := io.ReadAll(reader)
				got <- id + " " + itoa(strings.Count(string(rest), "POST"))
			}()
		}
	}()
	c := New(0)
	// Both sockets' buffers hold less than this, so the answer comes first.
	_, body, failure := exchangeWith(c, ln.Addr().String(), "1", strings.Repeat("x", maxSocketBuffers))
	g.Expect(failure).To(BeNil())
	g.Expect(body).To(Equal("early"))
	_, body, failure = exchangeWith(c, ln.Addr().String(), "2", "")
	g.Expect(failure).To(BeNil())
	g.Expect(body).To(Equal("early"))
	g.Eventually(got, 5*time.Second).Should(Receive(Equal("1 00")))
}
