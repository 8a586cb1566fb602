// Package configcheck checks a configuration before it is sent: what can never match or is
// contradictory, and what differs from the version in force. What routers do with a route, a
// key or a version it asks package routing.
package configcheck

import (
	"fmt"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// Severity tells what a finding means for requests.
type Severity string

// The severities.
const (
	// Error means that something cannot work as the configuration says.
	Error Severity = "error"
	// Warning means that something has no effect, or another one than it seems to have.
	Warning Severity = "warning"
)

// List is a list of a configuration, or the configuration itself.
type List int

// The lists.
const (
	Whole List = iota
	Limits
	Routes
	Services
	Organisations
)

// Field is a field of an entry.
type Field int

// The fields. Entry stands for the entry as a whole.
const (
	Entry Field = iota
	Version
	Name
	Host
	Prefix
	Timeout
	LatencyTarget
	GapTarget
	Targets
	MaxAttempts
	Regions
	MaxConns
	Slots
	CacheTokens
	Moves
	Cold
	Keys
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
	TokenRate
)

// Place is a place in a configuration. Item is the index in a field that is a list itself.
type Place struct {
	List  List
	Index int
	Field Field
	Item  int
}

// Finding is something about a configuration that its operator should know.
type Finding struct {
	Severity Severity
	Place    Place
	Message  string
}

// Fault is a fault, or another finding, with its place in a text. Path is the field; Line and
// Column begin at 1 and are 0 if the place is not known.
type Fault struct {
	Path    string `json:"path,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

// Document is the text of a configuration that has been decoded.
type Document interface {
	// Config returns the decoded configuration.
	Config() *routing.Config
	// Warnings returns what decoding replaces by another value.
	Warnings() []Fault
	// Locate returns the places of findings in the text, in their order.
	Locate(findings []Finding) []Fault
}

// Contradiction is a limit that something else is tighter than.
type Contradiction struct {
	Field   Field
	Message string
}

// Findings collects findings, up to a bound.
type Findings struct {
	List []Finding
	// OmittedErrors and OmittedWarnings are the numbers of findings beyond the bound.
	OmittedErrors, OmittedWarnings int
}

// maxFindings bounds the findings that are kept: who has so many mends the first ones first.
const maxFindings = 200

// add adds a finding.
func (f *Findings) add(s Severity, p Place, format string, args ...any) {
	switch {
	case len(f.List) < maxFindings:
		f.List = append(f.List, Finding{s, p, fmt.Sprintf(format, args...)})
	case s == Error:
		f.OmittedErrors++
	default:
		f.OmittedWarnings++
	}
}
