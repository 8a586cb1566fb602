//go:build review

package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is record.txt: a line for each event, with the time since the start in seconds.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	start time.Time
}

// NewRecord creates the file at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{f: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) { r.PrintfAt(time.Now(), format, args...) }

// PrintfAt writes a line for an event at a time.
func (r *Record) PrintfAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Since is the time of an event since the start, in seconds.
func (r *Record) Since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// Close writes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}
