// Package logs bounds the log output of a router. One goroutine writes the lines
// from a bounded buffer, so that a blocked output blocks no request, and each kind
// of line has its own rate limit. Lost lines are counted, and the first line after
// suppressed ones states how many of its kind were suppressed.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// bufferLines bounds the lines that wait for the output, including those of the
	// write in progress. batchLines bounds the lines of one write: each write costs a
	// system call, and a busy router has several lines waiting by the time its writer
	// runs.
	bufferLines = 2048
	batchLines  = 64
	// Rate is the sustained limit for lines of one kind, a second; Burst is the
	// size of its token bucket.
	Rate  = 200
	Burst = 400
)

// Writer writes lines to an output in the background. Write never blocks; it drops
// lines when the buffer is full. Writer is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	// mu guards closed against the end of lines.
	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines-batchLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		n := 1
		batch = append(batch[:0], line...)
		for ; n < batchLines && len(w.lines) > 0; n++ {
			batch = append(batch, <-w.lines...)
		}
		if _, err := out.Write(batch); err != nil {
			// The log itself has failed, so the loss shows only in the count.
			w.dropped.Add(uint64(n))
		}
	}
}

// Write implements io.Writer. It always reports success. After Close lines are lost: a
// goroutine may still log while the process ends.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were lost.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close stops the writer and waits until the buffered lines are written, but no
// longer than the given time.
func (w *Writer) Close(wait time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

// Limiter limits the rate of each kind of line with a token bucket. It is safe for
// concurrent use.
type Limiter struct {
	mu    sync.Mutex
	kinds map[string]*bucket
	now   func() time.Time
}

type bucket struct {
	tokens     float64
	lastRefill time.Time
	suppressed int
}

// NewLimiter returns a limiter with the limits Rate and Burst for each kind.
func NewLimiter(now func() time.Time) *Limiter {
	return &Limiter{kinds: make(map[string]*bucket), now: now}
}

// Allow reports whether a line of a kind may be written, and if so how many of the
// kind were suppressed since the last one.
func (l *Limiter) Allow(kind string) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.kinds[kind]
	if b == nil {
		b = &bucket{tokens: Burst, lastRefill: now}
		l.kinds[kind] = b
	}
	b.tokens = min(Burst, b.tokens+now.Sub(b.lastRefill).Seconds()*Rate)
	b.lastRefill = now
	if b.tokens < 1 {
		b.suppressed++
		return false, 0
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return true, suppressed
}

var limiter = NewLimiter(time.Now)

// Info logs a message with key-value pairs, under the rate limit of its kind. The
// message is a short sentence that starts with the component it comes from.
func Info(kind, message string, pairs ...any) {
	ok, suppressed := limiter.Allow(kind)
	if !ok {
		return
	}
	if suppressed > 0 {
		pairs = append(pairs, "leftOut", suppressed)
	}
	klog.InfoSDepth(1, message, pairs...)
}

// InfoFunc is Info for pairs that are expensive to make: it calls pairs only if the
// line is written.
func InfoFunc(kind, message string, pairs func() []any) {
	ok, suppressed := limiter.Allow(kind)
	if !ok {
		return
	}
	list := pairs()
	if suppressed > 0 {
		list = append(list, "leftOut", suppressed)
	}
	klog.InfoSDepth(1, message, list...)
}
