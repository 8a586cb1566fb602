package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct{ release chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestBlockedOutputBlocksNobody(t *testing.T) {
	g := NewWithT(t)
	out := blockedOutput{make(chan struct{})}
	w := NewWriter(out)
	const lines = 10 * bufferLines
	for range lines {
		n, err := w.Write([]byte("line\n"))
		g.Expect(n).To(Equal(5))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(w.Dropped()).To(BeNumerically(">=", lines-bufferLines-1))
	close(out.release)
	w.Close(time.Minute)
}

// gatedOutput is an output that blocks writes until it is released, and counts them.
type gatedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	writes  int
	text    strings.Builder
}

func (s *gatedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.text.Write(p)
}

// TestWaitingLinesAreWrittenTogether checks that lines which wait for a slow output
// are written in batches, in order and without loss.
func TestWaitingLinesAreWrittenTogether(t *testing.T) {
	g := NewWithT(t)
	out := &gatedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	var want strings.Builder
	const lines = 4 * batchLines
	for i := range lines {
		line := fmt.Sprintln("line", i)
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		g.Expect(err).NotTo(HaveOccurred())
	}
	close(out.release)
	w.Close(time.Minute)
	out.mu.Lock()
	defer out.mu.Unlock()
	g.Expect(out.text.String()).To(Equal(want.String()))
	// The first write may have started with any number of lines.
	g.Expect(out.writes).To(BeNumerically("<=", lines/batchLines+1))
	g.Expect(w.Dropped()).To(BeZero())
}

// TestRepeatedFaultStaysInBounds checks that a fault logged 10,000 times a second is
// written at the limited rate, that the suppressed lines are counted, and that other
// kinds are not limited by it.
func TestRepeatedFaultStaysInBounds(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := NewLimiter(func() time.Time { return now })
	const seconds, perSecond = 10, 10_000
	written, suppressedTotal := 0, 0
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		if ok, suppressed := l.Allow("fault"); ok {
			written++
			suppressedTotal += suppressed
		}
	}
	g.Expect(written).To(BeNumerically("<=", Burst+seconds*Rate))
	// Lines suppressed after the last written one are not reported yet; there are at
	// most perSecond/Rate of them, the number between two written lines.
	g.Expect(written + suppressedTotal).To(BeNumerically("~", seconds*perSecond, perSecond/Rate+1))
	ok, _ := l.Allow("other")
	g.Expect(ok).To(BeTrue())
}

// TestWriteAfterClose: a line that comes while the process ends is lost and does no harm.
func TestWriteAfterClose(t *testing.T) {
	g := NewWithT(t)
	w := NewWriter(io.Discard)
	w.Close(time.Second)
	w.Close(time.Second)
	_, err := w.Write([]byte("late\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Dropped()).To(Equal(uint64(1)))
}
