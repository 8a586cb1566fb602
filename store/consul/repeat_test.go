package consul_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
	"github.com/jujubeford/jujubeford/store/consul"
)

// closeStage is how much of a request a closingServer reads before it closes the
// connection.
type closeStage string

const (
	closeBeforeHeader closeStage = "before the header"
	closeAfterHeader  closeStage = "after the header"
	closeAfterBody    closeStage = "after the body"
)

// closingServer answers the first request of each connection with "true" and
// closes the connection during the second one. It counts the requests that reach
// it, also those of which it reads only a part.
type closingServer struct {
	listener net.Listener
	closeAt  closeStage
	requests atomic.Int32
}

func startClosingServer(t *testing.T, s closeStage) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &closingServer{listener: listener, closeAt: s}
	go c.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return c
}

func (c *closingServer) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

func (c *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if !c.readRequest(reader, closeAfterBody) {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue")
	c.readRequest(reader, c.closeAt)
}

// readRequest waits for a request, counts it and reads it up to the given stage.
// It returns false if no request can be read.
func (c *closingServer) readRequest(reader *bufio.Reader, s closeStage) bool {
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	c.requests.Add(1)
	if s == closeBeforeHeader {
		return true
	}
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if s == closeAfterBody {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	return true
}

// TestTransportNeverRepeatsWrite closes a reused connection during a write, after
// which net/http's transport may resend a request on a new connection. The write
// must reach the server once and return ErrUnknown. A read is resent in the same
// situation, which shows that the server would count a second write.
func TestTransportNeverRepeatsWrite(t *testing.T) {
	calls := []struct {
		name  string
		write bool
		run   func(context.Context, *consul.Client) error
	}{
		{"cas", true, func(ctx context.Context, c *consul.Client) error {
			_, err := c.CAS(ctx, "k", []byte("v"), 1)
			return err
		}},
		{"cas of an empty value", true, func(ctx context.Context, c *consul.Client) error { _, err := c.CAS(ctx, "k", nil, 1); return err }},
		{"delete", true, func(ctx context.Context, c *consul.Client) error { _, err := c.Delete(ctx, "k", 1); return err }},
		{"acquire", true, func(ctx context.Context, c *consul.Client) error {
			_, err := c.Acquire(ctx, "k", []byte("v"), "l")
			return err
		}},
		{"grant", true, func(ctx context.Context, c *consul.Client) error { _, err := c.Grant(ctx, time.Minute); return err }},
		{"renew", true, func(ctx context.Context, c *consul.Client) error { return c.Renew(ctx, "l") }},
		{"revoke", true, func(ctx context.Context, c *consul.Client) error { return c.Revoke(ctx, "l") }},
		{"register", true, func(ctx context.Context, c *consul.Client) error {
			return c.Register(ctx, store.Instance{ID: "i", Addr: "127.0.0.1:1"})
		}},
		{"get", false, func(ctx context.Context, c *consul.Client) error { _, err := c.Get(ctx, "k"); return err }},
	}
	for _, s := range []closeStage{closeBeforeHeader, closeAfterHeader, closeAfterBody} {
		for _, call := range calls {
			t.Run(call.name+" closed "+string(s), func(t *testing.T) {
				g := gomega.NewWithT(t)
				server := startClosingServer(t, s)
				client := consul.New(consul.Options{Addr: server.listener.Addr().String()})
				defer client.Close()
				ctx := context.Background()
				g.Expect(client.Revoke(ctx, "first")).To(gomega.Succeed())
				err := call.run(ctx, client)
				if !call.write {
					g.Expect(server.requests.Load()).To(gomega.BeEquivalentTo(3))
					return
				}
				g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
				g.Expect(server.requests.Load()).To(gomega.BeEquivalentTo(2))
			})
		}
	}
}

// TestStatusErrors checks which error a response leads to, for a read and for a
// write, and how the write is counted.
func TestStatusErrors(t *testing.T) {
	cases := []struct {
		name      string
		status    int
		body      string
		read      error
		write     error
		countedAs consul.CallStats
	}{
		{"rate limit", 429, "rate limit exceeded", store.ErrUnavailable, store.ErrUnavailable, consul.CallStats{Calls: 1, Unavailable: 1}},
		{"no leader", 500, "No cluster leader", store.ErrUnavailable, store.ErrUnavailable, consul.CallStats{Calls: 1, Unavailable: 1}},
		{"leadership lost", 500, "leadership lost while committing log", store.ErrUnavailable, store.ErrUnknown, consul.CallStats{Calls: 1, Unknown: 1}},
		{"gateway", 502, "", store.ErrUnavailable, store.ErrUnknown, consul.CallStats{Calls: 1, Unknown: 1}},
		{"forbidden", 403, "Permission denied", store.ErrUnavailable, store.ErrUnavailable, consul.CallStats{Calls: 1, Unavailable: 1}},
		{"too large", 413, "", store.ErrTooLarge, store.ErrTooLarge, consul.CallStats{Calls: 1}},
		{"no JSON", 200, "surprise", store.ErrUnavailable, store.ErrUnknown, consul.CallStats{Calls: 1, Unknown: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			addr := serveStatus(t, c.status, c.body)
			client := consul.New(consul.Options{Addr: addr})
			defer client.Close()
			_, err := client.Get(context.Background(), "k")
			g.Expect(err).To(gomega.MatchError(c.read))
			_, err = client.CAS(context.Background(), "k", nil, 0)
			g.Expect(err).To(gomega.MatchError(c.write))
			g.Expect(client.Stats()[consul.KindCAS]).To(gomega.Equal(c.countedAs))
			g.Expect(client.Stats().Calls()).To(gomega.BeEquivalentTo(2))
			g.Expect(client.Stats().Writes()).To(gomega.BeEquivalentTo(1))
		})
	}
}

// serveStatus starts a server that answers every request with the given status and
// body, and returns its address.
func serveStatus(t *testing.T, status int, body string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})}
	go func() { _ = web.Serve(listener) }()
	t.Cleanup(func() { _ = web.Close() })
	return listener.Addr().String()
}

// TestStatusThatIsNoneTellsNothing guards against a write being taken for one that had no effect
// because its response has a status that is none of HTTP's.
func TestStatusThatIsNoneTellsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\ntrue")
			}
			conn.Close()
		}
	}()
	client := consul.New(consul.Options{Addr: listener.Addr().String()})
	defer client.Close()
	_, err = client.CAS(context.Background(), "k", nil, 0)
	g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
}
