// Package logfile extracts the lines about one request from the log files of
// several instances.
//
// The clocks of the instances differ, so lines of different files are not merged by
// time: the lines of each file stay together, with times relative to the first line
// about the request in the same file.
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
	// maxLineBytes bounds a line of a log file, in bytes. The longest line that a
	// router writes has about 600.
	maxLineBytes = 1 << 20
	// contextWindow is how long before the first line of a request, and after its
	// last, lines that belong to no request are included: for example that the router
	// lost or regained the store, a peer or its readiness. Readiness and reports
	// change within a second.
	contextWindow = time.Second
	// maxContextLines bounds these lines for each file, so that they fit on a screen.
	maxContextLines = 20
)

// klogLine matches the header that klog puts before a message (severity, date without
// year, time of day, thread, source line) and the message. Other text may precede
// the header.
var klogLine = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ [^ ]+:\d+\] (.*)$`)

// requestIDPair matches the key-value pair with the request ID in a message.
var requestIDPair = regexp.MustCompile(` id="([^"]*)"`)

// Line is one line of an excerpt.
type Line struct {
	// After is the time since the first line about the request in the same file.
	After time.Duration
	// Text is the message with its key-value pairs.
	Text string
	// Context is set for a line that belongs to no request.
	Context bool
}

// Excerpt holds the lines of one file about a request and around it, in the file's
// order.
type Excerpt struct {
	File string
	// Start is the time of the first line about the request, by the clock of the
	// instance that wrote it. It has no year, since klog writes none.
	Start time.Time
	Lines []Line
}

// entry is a parsed log line. Its requestID is empty if the line is about no request.
type entry struct {
	at        time.Time
	text      string
	requestID string
}

// Find reads a log file and returns its excerpt about a request, nil if no line is
// about it.
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
	excerpt := &Excerpt{File: file, Start: first}
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
		excerpt.Lines = append(excerpt.Lines, Line{After: e.at.Sub(first), Text: e.text, Context: !matches})
	}
	return excerpt, nil
}

// parseLine parses a line. It returns false if klog did not write it.
func parseLine(line string) (e entry, ok bool) {
	m := klogLine.FindStringSubmatch(line)
	if m == nil {
		return e, false
	}
	at, err := time.Parse("0102 15:04:05.000000", m[1])
	if err != nil {
		// The digits are not a date, so klog did not write this line.
		return e, false
	}
	e = entry{at: at, text: m[2]}
	if id := requestIDPair.FindStringSubmatch(m[2]); id != nil {
		e.requestID = id[1]
	}
	return e, true
}

// Print writes the excerpts about a request, sorted by their start times on the
// clocks of their instances.
func Print(out io.Writer, id string, excerpts []*Excerpt) {
	sort.SliceStable(excerpts, func(i, j int) bool { return excerpts[i].Start.Before(excerpts[j].Start) })
	fmt.Fprintf(out, "request %s\n", id)
	if len(excerpts) > 1 {
		fmt.Fprintf(out, "in %d files; their clocks may differ, so compare times within a file only\n", len(excerpts))
	}
	for _, excerpt := range excerpts {
		fmt.Fprintf(out, "\n%s, from %s on its clock\n", excerpt.File, excerpt.Start.Format("Jan 2 15:04:05.000000"))
		for _, l := range excerpt.Lines {
			mark := " "
			if l.Context {
				mark = "~"
			}
			fmt.Fprintf(out, "%s %+11.3fms  %s\n", mark, float64(l.After)/float64(time.Millisecond), strings.TrimSpace(l.Text))
		}
	}
}
