package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/porttest"
)

// account counts what a writer takes.
type account struct {
	room, taken, most atomic.Int64
	ended             chan error
}

func (a *account) GrowBacklog(n int) bool {
	taken := a.taken.Add(int64(n))
	a.most.Store(max(a.most.Load(), taken))
	return taken <= a.room.Load()
}

func (a *account) ReleaseBacklog() { a.taken.Store(0) }

func (a *account) EndedUnread(err error) { a.ended <- err }

// newTestWriter returns a writer to a connection with a small buffer, and its other end.
func newTestWriter(t *testing.T) (*Writer, *account, net.Conn) {
	near, far := porttest.ConnPair(t)
	conn := near.(*net.TCPConn)
	g := NewWithT(t)
	g.Expect(conn.SetWriteBuffer(4 << 10)).To(Succeed())
	a := &account{ended: make(chan error, 1)}
	a.room.Store(1 << 40)
	w, err := NewWriter(conn, a)
	g.Expect(err).NotTo(HaveOccurred())
	return w, a, far
}

// part is the i-th part of what the tests write.
func part(i int) []byte { return bytes.Repeat([]byte{byte('a' + i%26)}, 1000) }

// Writes do not wait for a peer that reads later, and it gets everything in order, also what was
// written before Close.
func TestWriterKeepsWhatIsNotRead(t *testing.T) {
	g := NewWithT(t)
	const parts = 16 << 10
	w, a, far := newTestWriter(t)
	b := &Backlog{Limit: 1000 * parts, Wait: time.Minute, Stall: time.Minute}
	var want []byte
	for i := range parts {
		n, err := w.WriteAhead(part(i), b)
		g.Expect(n, err).To(Equal(1000))
		want = append(want, part(i)...)
	}
	g.Expect(a.taken.Load()).To(BeNumerically(">", 0))
	g.Expect(w.CloseWrite()).To(Succeed())
	g.Expect(w.Close()).To(Succeed())
	got, err := io.ReadAll(far)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(got, want)).To(BeTrue())
	g.Eventually(a.taken.Load).Should(BeZero())
	g.Expect(a.most.Load()).To(BeNumerically("<=", b.Limit))
}

// A peer that reads nothing ends its own connection, which is reset so that the kernel keeps
// nothing for it: by the bound of the backlog, by lack of
// memory, and by the stall time, with a backlog and without.
func TestWriterEndsWithoutReader(t *testing.T) {
	for name, c := range map[string]struct {
		backlog Backlog
		room    int64
		write   func(w *Writer, b *Backlog) error
	}{
		"full":      {Backlog{Limit: 20000, Wait: time.Millisecond, Stall: time.Minute}, 1 << 40, nil},
		"no memory": {Backlog{Limit: 1 << 40, Wait: time.Millisecond, Stall: time.Minute}, 20000, nil},
		"stalled":   {Backlog{Limit: 1 << 20, Wait: time.Minute, Stall: time.Millisecond}, 1 << 40, nil},
		"waiting": {Backlog{}, 0, func(w *Writer, _ *Backlog) error {
			_, err := w.Write(bytes.Repeat(part(0), 16<<10), 10*time.Millisecond)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w, a, far := newTestWriter(t)
			a.room.Store(c.room)
			write := c.write
			if write == nil {
				write = func(w *Writer, b *Backlog) error { _, err := w.WriteAhead(part(0), b); return err }
			}
			var err error
			for err == nil {
				err = write(w, &c.backlog)
			}
			if c.write == nil {
				g.Eventually(a.ended).Should(Receive())
				g.Eventually(a.taken.Load).Should(BeZero())
			} else {
				g.Expect(err).To(Equal(ErrStalled))
			}
			w.Abort()
			_, err = io.Copy(io.Discard, far)
			g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		})
	}
}

// Abort drops what is kept, and a peer that reads again sees the end.
func TestWriterAborts(t *testing.T) {
	g := NewWithT(t)
	w, a, far := newTestWriter(t)
	b := &Backlog{Limit: 32 << 20, Wait: time.Minute, Stall: time.Minute}
	for i := range 16 << 10 {
		_, err := w.WriteAhead(part(i), b)
		g.Expect(err).NotTo(HaveOccurred())
	}
	w.Abort()
	got, err := io.ReadAll(far)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(got)).To(BeNumerically("<", 1000*16<<10))
	g.Eventually(a.taken.Load).Should(BeZero())
	_, err = w.Write([]byte("x"), time.Second)
	g.Expect(err).To(HaveOccurred())
}
