// Package logs bounds what a router logs: lines are written by one goroutine
// from a bounded buffer, so that a blocked output blocks no request, and each
// kind of line has a rate of its own. What is left out is counted and said.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// bufferLines is how many lines may wait for the output, those of the write under
	// way included, and batchLines how many are written at once: each write costs a
	// system call, and a busy router has several lines by the time its writer runs.
	bufferLines = 2048
	batchLines  = 64
	// Rate and Burst bound the lines of one kind, a second and at once.
	Rate  = 200
	Burst = 400
)

// Writer passes lines on without ever blocking; it drops what does not fit.
type Writer struct {
	lines     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter starts a writer to out.
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
			// There is nowhere left to say so; the count is in the metrics.
			w.dropped.Add(uint64(n))
		}
	}
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped counts the lines that were lost.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, but waits no longer than the given time.
func (w *Writer) Close(wait time.Duration) {
	w.closeOnce.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

// Limiter bounds the lines of each kind. It is safe for concurrent use.
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

// NewLimiter returns a limiter with the rates of this package.
func NewLimiter(now func() time.Time) *Limiter {
	return &Limiter{kinds: make(map[string]*bucket), now: now}
}

// Allow reports whether a line of a kind may be written, and how many were left
// out since the last one.
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

// Info writes a line of a kind that may be frequent: a short sentence that
// begins with the part it comes from, and key-value pairs.
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

// InfoFunc is Info for pairs that cost something: they are asked for only if the line
// is written.
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
