// Package logfile finds what the log files of several machines say of one request.
//
// The clocks of the machines differ, so lines of different files are never put
// between one another: each file's lines stay together, with times since the first
// of them on that machine's clock.
package logfile

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds a line of a log file, in bytes: many times the longest line
	// that a router writes, of about 600.
	maxLineBytes = 1 << 20
	// contextWindow is how long before the first line of a request, and after its last,
	// lines count that are about no request: the router lost or regained the store,
	// a peer, its place in the rotation. Readiness and reports move within a second.
	contextWindow = time.Second
	// maxContextLines bounds these lines for each file: what fits on a screen.
	maxContextLines = 20
)

// klogLine matches what klog puts before the message: severity, month and day, time
// of day, thread, source line. Other text may stand before it.
var klogLine = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ [^ ]+:\d+\] (.*)$`)

// requestIDPair matches the id in a line that is about a request.
var requestIDPair = regexp.MustCompile(` id="([^"]*)"`)

// Line is one line of a log.
type Line struct {
	// After is the time since the first line of the request in the same file.
	After time.Duration
	// Text is the message with its pairs.
	Text string
	// Context means that the line is about no request.
	Context bool
}

// Excerpt is what one file says of a request, in the file's order.
type Excerpt struct {
	File string
	// Start is the time of the request's first line on that machine's clock. klog
	// writes no year.
	Start time.Time
	Lines []Line
}

type entry struct {
	at        time.Time
	text      string
	requestID string
}

// Find returns the part of a file about a request; nil if it says nothing.
func Find(file string, log io.Reader, id string) (*Excerpt, error) {
	var entries []entry
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if e, ok := parseLine(lines.Text()); ok && (e.requestID == id || e.requestID == "") {
			entries = append(entries, e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(err, "read %s", file)
	}
	var first, last time.Time
	for _, e := range entries {
		if e.requestID != id {
			continue
		}
		if first.IsZero() {
			first = e.at
		}
		last = e.at
	}
	if first.IsZero() {
		return nil, nil
	}
	p := &Excerpt{File: file, Start: first}
	contextLines := 0
	for _, e := range entries {
		matches := e.requestID == id
		if !matches {
			near := !e.at.Before(first.Add(-contextWindow)) && !e.at.After(last.Add(contextWindow))
			if !near || contextLines == maxContextLines {
				continue
			}
			contextLines++
		}
		p.Lines = append(p.Lines, Line{After: e.at.Sub(first), Text: e.text, Context: !matches})
	}
	return p, nil
}

func parseLine(line string) (e entry, ok bool) {
	m := klogLine.FindStringSubmatch(line)
	if m == nil {
		return e, false
	}
	at, err := time.Parse("0102 15:04:05.000000", m[1])
	if err != nil {
		// Digits that are no date: not a line of klog.
		return e, false
	}
	e = entry{at: at, text: m[2]}
	if id := requestIDPair.FindStringSubmatch(m[2]); id != nil {
		e.requestID = id[1]
	}
	return e, true
}

// Print writes the parts of a request, those that began first on their own clocks
// first.
func Print(out io.Writer, id string, excerpts []*Excerpt) {
	sort.SliceStable(excerpts, func(i, j int) bool { return excerpts[i].Start.Before(excerpts[j].Start) })
	fmt.Fprintf(out, "request %s\n", id)
	if len(excerpts) > 1 {
		fmt.Fprintf(out, "in %d files; their clocks may differ, so compare times within a file only\n", len(excerpts))
	}
	for _, p := range excerpts {
		fmt.Fprintf(out, "\n%s, from %s on its clock\n", p.File, p.Start.Format("Jan 2 15:04:05.000000"))
		for _, l := range p.Lines {
			mark := " "
			if l.Context {
				mark = "~"
			}
			fmt.Fprintf(out, "%s %+11.3fms  %s\n", mark, float64(l.After)/float64(time.Millisecond), strings.TrimSpace(l.Text))
		}
	}
}
