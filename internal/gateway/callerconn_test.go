package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/porttest"
)

// TestClosedIdleConnectionRunsNothing: a connection is closed as unused, or a handler runs for
// it, but not both: a request that has been passed on gets its answer.
func TestClosedIdleConnectionRunsNothing(t *testing.T) {
	g := NewWithT(t)
	near, far := porttest.ConnPair(t)
	tracked := newConns(1)
	conn := tracked.wrap(near.(*net.TCPConn), nil)
	tracked.onConnState(conn, http.StateNew)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r = r.WithContext(withConn(r.Context(), conn))

	evicted := tracked.evictIdle(time.Now().Add(time.Hour), time.Minute)
	g.Expect(evicted).To(ConsistOf(conn))
	leave := conn.enterHandler()
	closeIdle(conn)
	_, err := conn.Write([]byte("answer"))
	g.Expect(err).NotTo(HaveOccurred(), "a handler runs")
	leave()

	closeIdle(conn)
	_, err = io.ReadFull(far, make([]byte, len("answer")))
	g.Expect(err).NotTo(HaveOccurred())
	gw := &Gateway{pressure: pressure{admission: newAdmission(0)}, conns: tracked}
	g.Expect(func() { gw.serveCaller(httptest.NewRecorder(), r) }).To(PanicWith(http.ErrAbortHandler))
}

// TestHeadsTakeRoom: the room that a head takes is that of its text and its lines, however it is
// cut into reads, without the body that follows; it is given back with the request.
func TestHeadsTakeRoom(t *testing.T) {
	short := "POST / HTTP/1.1\r\nHost: h\r\n\r\n"
	long := "POST / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 200) + "\r\n"
	longHeld := len(long) + headLine*strings.Count(long, "\n") - connHead
	for _, c := range []struct {
		head string
		want int
	}{{short, 0}, {long, longHeld}} {
		text := []byte(c.head + strings.Repeat("1\r\nx\r\n", 2000))
		for _, size := range []int{1, 2, 3, 5, 1000, 4096, len(text)} {
			g := NewWithT(t)
			near, _ := porttest.ConnPair(t)
			tracked := newConns(10)
			tracked.room = &room{state: holding.New(112 << 20)}
			conn := tracked.wrap(near.(*net.TCPConn), bytes.Clone(text))
			for read := 0; read < len(text); read += size {
				_, err := io.ReadFull(conn, make([]byte, min(size, len(text)-read)))
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(tracked.room.held(holding.Heads)).To(BeEquivalentTo(c.want), "reads of %d bytes", size)
			conn.enterHandler()()
			g.Expect(tracked.room.held(holding.Heads)).To(BeZero())
			g.Expect(conn.takeHead(text)).To(BeTrue())
			g.Expect(tracked.room.held(holding.Heads)).To(BeZero(), "the rest of a request")
			tracked.onConnState(conn, http.StateIdle)
			g.Expect(conn.takeHead(text)).To(BeTrue())
			g.Expect(tracked.room.held(holding.Heads)).To(BeEquivalentTo(c.want), "the next head")
		}
	}
}
