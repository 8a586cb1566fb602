package config

import (
	"fmt"
	"strings"
)

// Fault is one error in a configuration.
type Fault struct {
	// Path is the field with the error, such as "organisations[3].share"; empty
	// if the error concerns the whole text.
	Path string
	// Line is the line in the parsed text, starting at 1; 0 if unknown.
	Line int
	// Message describes the error.
	Message string
}

// String formats the fault as one line.
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

// Faults lists all errors that were found in a configuration.
type Faults []Fault

// Error formats the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// add appends a fault with a formatted message.
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
