package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// collect reads all events of a stream and the error that ended it.
func collect(r *Reader) (events []Event, err error) {
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		e.Data = bytes.Clone(e.Data)
		events = append(events, e)
	}
}

func TestReader(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		want     []Event
		err      error
	}{
		{"one event", "data: a\n\n", []Event{{Data: []byte("a")}}, io.EOF},
		{"all fields", "id: 7\nevent: tick\ndata: a\n\n", []Event{{ID: "7", Name: "tick", Data: []byte("a")}}, io.EOF},
		{"several data lines", "data: a\ndata:b\ndata\n\n", []Event{{Data: []byte("a\nb\n")}}, io.EOF},
		{"one space only", "data:  a\n\n", []Event{{Data: []byte(" a")}}, io.EOF},
		{"CRLF", "data: a\r\n\r\ndata: b\r\n\r\n", []Event{{Data: []byte("a")}, {Data: []byte("b")}}, io.EOF},
		{"CR", "data: a\r\rdata: b\r\r", []Event{{Data: []byte("a")}, {Data: []byte("b")}}, io.EOF},
		{"comment", ": still here\n\ndata: a\n: x\n\n", []Event{{Data: []byte("a")}}, io.EOF},
		{"unknown field", "retry: 5\nfoo: x\ndata: a\n\n", []Event{{Data: []byte("a")}}, io.EOF},
		{"no data", "id: 1\n\ndata: a\n\n", []Event{{Data: []byte("a")}}, io.EOF},
		{"empty data", "data:\n\n", []Event{{Data: []byte("")}}, io.EOF},
		{"NUL in id", "id: a\x00\ndata: a\n\n", []Event{{Data: []byte("a")}}, io.EOF},
		{"byte order mark", "\xef\xbb\xbfdata: a\n\n", []Event{{Data: []byte("a")}}, io.EOF},
		{"truncated event", "data: a\n\ndata: b\n", []Event{{Data: []byte("a")}}, ErrTruncated},
		{"truncated line", "data: a", nil, ErrTruncated},
		{"long line", "data: " + strings.Repeat("x", 30) + "\n\n", nil, ErrLineTooLong},
		{"large event", strings.Repeat("data: 12345678\n", 5) + "\n", nil, ErrEventTooLarge},
		{"empty", "", nil, io.EOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, in := range []io.Reader{strings.NewReader(tc.in), iotest.OneByteReader(strings.NewReader(tc.in))} {
				r := NewReaderSize(in, 20, 32)
				events, err := collect(r)
				g.Expect(events).To(Equal(tc.want))
				g.Expect(err).To(MatchError(tc.err))
				_, again := r.Next()
				g.Expect(again).To(MatchError(tc.err))
			}
		})
	}
}

// TestReaderDoesNotWaitForLF checks that an event that ends with CR is returned at
// once, without waiting for a possible LF.
func TestReaderDoesNotWaitForLF(t *testing.T) {
	in, out := io.Pipe()
	go func() { _, _ = out.Write([]byte("data: a\r\r")) }()
	e, err := NewReader(in).Next()
	NewWithT(t).Expect(string(e.Data), err).To(Equal("a"))
	out.Close()
}

func TestAppend(t *testing.T) {
	g := NewWithT(t)
	out, err := Append(nil, Event{ID: "s/1", Name: "tick", Data: []byte("a\r\nb\rc\nd")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(out)).To(Equal("id: s/1\nevent: tick\ndata: a\ndata: b\ndata: c\ndata: d\n\n"))
	for _, bad := range []Event{{ID: "a\nb"}, {Name: "a\rb"}, {ID: "a\x00"}} {
		_, err := Append(nil, bad)
		g.Expect(err).To(MatchError(ErrField))
	}
	out, err = AppendComment(nil, "still here")
	g.Expect(string(out), err).To(Equal(": still here\n\n"))
	_, err = AppendComment(nil, "a\nb")
	g.Expect(err).To(MatchError(ErrField))
}

// FuzzReader checks that any input ends in one of the package's errors, within the
// limits, and that the events read are the same after they are written and read
// again.
func FuzzReader(f *testing.F) {
	for _, s := range []string{"data: a\n\n", "id: 1\r\ndata: x\r\n\r\n", ":c\n\ndata\n\n", "data: a\r\rdata: b", "\xef\xbb\xbfdata:\n\n", "id: \x00\ndata: y\n\n"} {
		f.Add([]byte(s))
	}
	const maxLine, maxEvent = 64, 128
	f.Fuzz(func(t *testing.T, in []byte) {
		g := NewWithT(t)
		events, err := collect(NewReaderSize(bytes.NewReader(in), maxLine, maxEvent))
		g.Expect(err).To(Or(Equal(io.EOF), Equal(ErrTruncated), Equal(ErrLineTooLong), Equal(ErrEventTooLarge)))
		var out []byte
		for _, e := range events {
			g.Expect(len(e.Data)).To(BeNumerically("<=", maxEvent))
			out, err = Append(out, e)
			g.Expect(err).NotTo(HaveOccurred())
		}
		again, err := collect(NewReader(bytes.NewReader(out)))
		g.Expect(err).To(MatchError(io.EOF))
		g.Expect(again).To(Equal(events))
	})
}
