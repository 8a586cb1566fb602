package sse

import (
	"bufio"
	"bytes"
	"io"
)

// readBufferSize is the size of a Reader's input buffer, in bytes.
const readBufferSize = 4 << 10

// byteOrderMark is skipped if it stands at the start of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Reader reads the events of a stream. It holds at most one line and one event in
// memory. It is not safe for concurrent use.
type Reader struct {
	src      *bufio.Reader
	maxLine  int
	maxEvent int
	// markChecked means that the start of the stream was checked for a byte order
	// mark.
	markChecked bool
	// skipLF means that the last line ended with CR, so that an LF after it belongs
	// to the same line end. Waiting for that LF at once could block.
	skipLF bool
	line   []byte
	data   []byte
	// err is the error that ended the stream; Next keeps returning it.
	err error
}

// NewReader returns a Reader with the default limits.
func NewReader(r io.Reader) *Reader { return NewReaderSize(r, MaxLine, MaxEvent) }

// NewReaderSize returns a Reader with the given limits, in bytes.
func NewReaderSize(r io.Reader, maxLine, maxEvent int) *Reader {
	return &Reader{src: bufio.NewReaderSize(r, readBufferSize), maxLine: maxLine, maxEvent: maxEvent}
}

// Next returns the next event that has data. Its Data is valid until the following
// call. At the end of the stream between two events it returns io.EOF. After any
// error it keeps returning that error.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	e, err := r.next()
	r.err = err
	return e, err
}

// next reads lines up to the blank line that ends an event with data.
func (r *Reader) next() (Event, error) {
	var e Event
	hasData, pending := false, false
	r.data = r.data[:0]
	for {
		line, err := r.readLine()
		if err == io.EOF && (pending || len(line) > 0) {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				e.Data = r.data[:len(r.data)-1]
				return e, nil
			}
			e, pending = Event{}, false
			continue
		}
		name, value, isField := splitField(line)
		if !isField {
			continue
		}
		pending = true
		switch name {
		case "data":
			if len(r.data)+len(value) > r.maxEvent {
				return Event{}, ErrEventTooLarge
			}
			r.data = append(append(r.data, value...), '\n')
			hasData = true
		case "event":
			e.Name = string(value)
		case "id":
			if bytes.IndexByte(value, 0) < 0 {
				e.ID = string(value)
			}
		}
	}
}

// splitField splits a non-blank line into the name and value of a field. It returns
// false for a comment.
func splitField(line []byte) (name string, value []byte, isField bool) {
	colon := bytes.IndexByte(line, ':')
	if colon == 0 {
		return "", nil, false
	}
	if colon < 0 {
		return string(line), nil, true
	}
	value = line[colon+1:]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return string(line[:colon]), value, true
}

// readLine returns a line without its line end. Together with io.EOF it returns the
// bytes after the last line end.
func (r *Reader) readLine() ([]byte, error) {
	if err := r.skipByteOrderMark(); err != nil {
		return nil, err
	}
	r.line = r.line[:0]
	for {
		b, err := r.src.ReadByte()
		if err != nil {
			return r.line, err
		}
		if b == '\n' && r.skipLF {
			r.skipLF = false
			continue
		}
		r.skipLF = b == '\r'
		if b == '\n' || b == '\r' {
			return r.line, nil
		}
		if len(r.line) >= r.maxLine {
			return nil, ErrLineTooLong
		}
		r.line = append(r.line, b)
	}
}

// skipByteOrderMark skips a byte order mark at the start of the stream.
func (r *Reader) skipByteOrderMark() error {
	if r.markChecked {
		return nil
	}
	first, err := r.src.Peek(1)
	if err != nil {
		return err
	}
	r.markChecked = true
	if first[0] != byteOrderMark[0] {
		return nil
	}
	mark, err := r.src.Peek(len(byteOrderMark))
	if err != nil && err != io.EOF {
		return err
	}
	if bytes.Equal(mark, byteOrderMark) {
		_, err = r.src.Discard(len(byteOrderMark))
		return err
	}
	return nil
}
