package config

import (
	"fmt"
	"strings"
)

// Fault is one mistake in a configuration.
type Fault struct {
	// Path is the place, such as "organisations[3].share"; empty for the text as
	// a whole.
	Path string
	// Line is the line of the text that was parsed, from 1; 0 if unknown.
	Line int
	// Message says what is wrong there.
	Message string
}

// String gives the fault as one line.
func (f Fault) String() string {
	var place []string
	if f.Line > 0 {
		place = append(place, fmt.Sprintf("line %d", f.Line))
	}
	if f.Path != "" {
		place = append(place, f.Path)
	}
	if len(place) == 0 {
		return f.Message
	}
	return strings.Join(place, ", ") + ": " + f.Message
}

// Faults are all the mistakes of a configuration, in the order of the text.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// add appends a fault.
func (f *Faults) add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// err returns the faults as an error, or nil if there are none.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
