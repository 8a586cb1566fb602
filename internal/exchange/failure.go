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

// The reasons for which a response cannot be used.
var (
	errUpstreamLeft    = errors.New("upstream left before the request was sent")
	errForeignResponse = errors.New("response belongs to another request")
	errAborted         = errors.New("exchange was aborted")
	errHeaderTooLarge  = errors.New("response header exceeds its size limit")
	errBodyTooLarge    = errors.New("response body exceeds its size limit")
	errMemoryLimit     = errors.Wrap(syscall.ENOMEM, "response bodies in flight exceed their memory limit")
	errBodyGaveWay     = errors.New("response body takes most of the memory for bodies in flight, and gave way")
	errBodyTruncated   = errors.New("response body ended early")
	errMalformed       = errors.New("not a response of HTTP")
)

// Failure describes why an exchange ended without a complete response.
type Failure struct {
	Kind core.Failure
	// Sent means that a byte of the request may have reached the upstream.
	Sent bool
	// Replaced means that another instance than the intended one answered.
	Replaced bool
	Err      error
}

// Unreachable reports whether nothing listens at the address.
func (f *Failure) Unreachable() bool { return errors.Is(f.Err, syscall.ECONNREFUSED) }

// OutOfResources reports whether the failure was a lack of file descriptors or memory
// in this process, which says nothing about the upstream.
func (f *Failure) OutOfResources() bool {
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

// failureKind maps an error of reading or writing to a failure kind.
func failureKind(err error) core.Failure {
	var timeout net.Error
	switch {
	case errors.Is(err, errAborted), errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return core.FailCancelled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return core.FailIdle
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errBodyTruncated):
		return core.FailTruncated
	case errors.Is(err, syscall.ECONNREFUSED):
		return core.FailDial
	default:
		return core.FailReset
	}
}
