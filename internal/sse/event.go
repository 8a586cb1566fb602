package sse

import (
	"strings"

	"github.com/pkg/errors"
)

// The default limits of a Reader, in bytes.
const (
	MaxLine  = 256 << 10
	MaxEvent = 1 << 20
)

// The errors of this package. Callers compare them with errors.Is.
var (
	// ErrLineTooLong means that a line is longer than the reader's limit.
	ErrLineTooLong = errors.New("sse: line too long")
	// ErrEventTooLarge means that the data of an event is larger than the reader's
	// limit.
	ErrEventTooLarge = errors.New("sse: event too large")
	// ErrTruncated means that the stream ended inside an event or a line.
	ErrTruncated = errors.New("sse: stream ended inside an event")
	// ErrField means that an id, an event name or a comment contains a line break
	// or NUL and cannot be written on one line.
	ErrField = errors.New("sse: line break or NUL in a field")
)

// Event is one event of a stream.
type Event struct {
	// ID is the id field of this event, empty if it has none.
	ID string
	// Name is the event field, empty for the default event type.
	Name string
	// Data is the data field, with its lines joined by LF.
	Data []byte
}

// Append appends the encoded event to dst. Data with line breaks is written as
// several data fields, so CR and CRLF are read back as LF.
func Append(dst []byte, e Event) ([]byte, error) {
	if strings.ContainsAny(e.ID, "\r\n\x00") || strings.ContainsAny(e.Name, "\r\n\x00") {
		return dst, ErrField
	}
	if e.ID != "" {
		dst = append(dst, "id: "...)
		dst = append(dst, e.ID...)
		dst = append(dst, '\n')
	}
	if e.Name != "" {
		dst = append(dst, "event: "...)
		dst = append(dst, e.Name...)
		dst = append(dst, '\n')
	}
	dst = appendData(dst, e.Data)
	return append(dst, '\n'), nil
}

// appendData appends each line of data as a data field.
func appendData(dst, data []byte) []byte {
	dst = append(dst, "data: "...)
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '\r':
			if i+1 < len(data) && data[i+1] == '\n' {
				continue
			}
			dst = append(dst, "\ndata: "...)
		case '\n':
			dst = append(dst, "\ndata: "...)
		default:
			dst = append(dst, data[i])
		}
	}
	return append(dst, '\n')
}

// AppendComment appends a comment line. Readers skip it, but it keeps the stream
// from appearing silent.
func AppendComment(dst []byte, text string) ([]byte, error) {
	if strings.ContainsAny(text, "\r\n\x00") {
		return dst, ErrField
	}
	dst = append(dst, ": "...)
	dst = append(dst, text...)
	return append(dst, "\n\n"...), nil
}
