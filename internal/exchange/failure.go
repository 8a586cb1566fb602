package exchange

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
)

// The errors of answers that cannot be used.
var (
	errForeignResponse = errors.New("the answer belongs to another request")
	errAborted         = errors.New("the exchange was aborted")
	errHeaderTooLarge  = errors.New("the header is larger than its bound")
	errBodyTooLarge    = errors.New("the answer is larger than its bound")
	errMemoryLimit     = errors.Wrap(syscall.ENOMEM, "the answers under way fill their part of the memory")
	errBodyTruncated   = errors.New("the answer ended early")
)

// Failure is why an exchange ended without a whole answer.
type Failure struct {
	Kind core.Failure
	// Sent means that a byte of the request may have reached the upstream.
	Sent bool
	// Replaced means that another instance answered.
	Replaced bool
	Err      error
}

// Unreachable reports whether nothing listens at the address.
func (f *Failure) Unreachable() bool { return errors.Is(f.Err, syscall.ECONNREFUSED) }

// Local reports whether this process lacked descriptors or memory for a connection,
// which says nothing of the upstream.
func (f *Failure) Local() bool {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(f.Err, err) {
			return true
		}
	}
	return false
}

// Error implements error.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// failureKind classifies an error of reading or writing.
func failureKind(err error) core.Failure {
	var timeout net.Error
	switch {
	case errors.Is(err, errAborted), errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return core.FailCancelled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return core.FailSilent
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errBodyTruncated):
		return core.FailTruncated
	case errors.Is(err, syscall.ECONNREFUSED):
		return core.FailDial
	default:
		return core.FailReset
	}
}
