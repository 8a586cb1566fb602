package configstore

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrOutcomeUnknown means that the write of the head got no response: it may have
// taken effect, may still take effect, or may be lost. Submit may be called again
// with the same submission name; this does not accept the submission twice and
// determines the outcome.
var ErrOutcomeUnknown = errors.New("no response to the write of the head; it is not known whether the configuration is accepted")

// ErrSubmissionReused means that a submission with the same name, but with another
// configuration, was accepted before.
var ErrSubmissionReused = errors.New("a submission with this name was accepted before with another configuration")

// ConflictError means that the generation in force is not the one that the
// submission was based on. The configuration in force was not changed.
type ConflictError struct {
	// Base is the generation that the submission was based on.
	Base uint64
	// InForce describes the generation in force; its Generation is 0 if there is
	// none.
	InForce Accepted
}

// Error names both generations, and the submission of the one in force.
func (e *ConflictError) Error() string {
	if e.InForce.Generation == 0 {
		return fmt.Sprintf("conflict: based on generation %d, but no configuration is in force", e.Base)
	}
	return fmt.Sprintf("conflict: based on generation %d, but generation %d is in force, by submission %s",
		e.Base, e.InForce.Generation, e.InForce.Submission)
}
