package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the history after a revision is no longer kept; the
// reader has to list anew.
var ErrCompacted = errors.New("history compacted")

// Change is a write or, with Deleted, the removal of a key.
type Change struct {
	Entry
	Deleted bool
}

// Feed reads a store whose writes are numbered by one revision.
type Feed interface {
	// Range lists all keys under a prefix, and the revision that the list is at
	// least as new as.
	Range(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error)
	// Changes waits for changes under a prefix after a revision, and returns them
	// with the revision to continue from. Without changes it returns after wait.
	// ErrCompacted: the history is gone.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}

// Register keeps a key alive with a lease.
type Register interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
	Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (bool, error)
}
