package configstore

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrUnsettled: no answer came for the head, so the submission may be accepted
// or not, now or later. Submitting again under the same submission is safe and
// settles it.
var ErrUnsettled = errors.New("no answer came; it is not known whether the configuration is accepted")

// ErrSubmissionReused: a submission of the same name with another configuration
// was accepted before.
var ErrSubmissionReused = errors.New("the submission was accepted before with another configuration")

// ConflictError means that another generation than the expected one is in force.
// Nothing was changed.
type ConflictError struct {
	// Base is the generation that the submission was based on.
	Base uint64
	// InForce is what is in force; its Generation is 0 if nothing is.
	InForce Accepted
}

// Error says who won.
func (e *ConflictError) Error() string {
	if e.InForce.Generation == 0 {
		return fmt.Sprintf("conflict: based on generation %d, but no configuration is in force", e.Base)
	}
	return fmt.Sprintf("conflict: based on generation %d, but generation %d is in force, by submission %s",
		e.Base, e.InForce.Generation, e.InForce.Submission)
}
