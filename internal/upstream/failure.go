package upstream

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Failure says how an attempt failed.
type Failure struct {
	Kind core.Failure
	// Sent is false only if no byte of the request can have reached the upstream
	// or the upstream said that it did not run the request.
	Sent bool
	// Status is the HTTP status if the upstream answered, else 0.
	Status int
	// RetryAfter is the upstream's wish, 0 if it has none.
	RetryAfter time.Duration
	// Leaving means that the upstream said it is leaving.
	Leaving bool
	// Err is the cause, for the logs.
	Err error
}

// Error makes a Failure loggable.
func (f *Failure) Error() string {
	return fmt.Sprintf("attempt failed: kind %d, sent %t, status %d: %v", f.Kind, f.Sent, f.Status, f.Err)
}

// The causes with which an attempt's context is cancelled.
var (
	errSilent     = errors.New("upstream silent")
	errClosed     = errors.New("answer closed")
	errSecondConn = errors.New("second connection for one request refused")
	errSealed     = errors.New("connection sealed")
)

// The causes of truncated answers.
var (
	errMissingChunks = errors.New("chunks are missing from the stream")
	errNoEndMark     = errors.New("stream ended without its end mark")
	errForeignStream = errors.New("stream carried only chunks of other streams")
	errEventID       = errors.New("malformed chunk id")
)
