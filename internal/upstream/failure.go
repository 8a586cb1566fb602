package upstream

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Failure describes how an attempt failed.
type Failure struct {
	Kind core.Failure
	// Sent is false only if no byte of the request can have reached the upstream
	// or the upstream said that it did not run the request.
	Sent bool
	// Status is the HTTP status if the upstream answered, else 0.
	Status int
	// RetryAfter is the delay that the upstream asked for, 0 if none.
	RetryAfter time.Duration
	// Leaving means that the response carried HeaderLeaving.
	Leaving bool
	// Err is the cause, for the logs.
	Err error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("attempt failed: kind %d, sent %t, status %d: %v", f.Kind, f.Sent, f.Status, f.Err)
}

// The reasons for which an attempt is cancelled or a write is rejected.
var (
	errSilent     = errors.New("upstream sent nothing within the silence timeout")
	errClosed     = errors.New("attempt ended by the router")
	errSecondConn = errors.New("request already has a connection or has ended")
	errSealed     = errors.New("connection is sealed against further writes")
)

// The reasons for which a response counts as truncated.
var (
	errMissingChunks = errors.New("chunks are missing from the stream")
	errNoExplicitEnd = errors.New("response ended without an end mark, a stated length or a last chunk")
	errDoubtfulEnd   = errors.New("the end mark follows a chunk that was dropped")
	errEventID       = errors.New("malformed event id")
)
