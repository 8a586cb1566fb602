package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the store no longer keeps the changes after the
// requested revision. The reader has to list all keys again.
var ErrCompacted = errors.New("history compacted")

// Change is a write of a key or, if Deleted is set, its removal.
type Change struct {
	Entry
	Deleted bool
}

// Feed reads a store that numbers the writes to all keys by a single revision.
type Feed interface {
	// Range lists all keys under a prefix. It also returns a revision; the list
	// contains every change up to it, and possibly later ones.
	Range(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error)
	// Changes waits for changes under a prefix after a revision and returns them
	// with the revision to continue from. It returns no changes if there are none
	// within wait, and ErrCompacted if the store has dropped its history after the
	// given revision.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}

// LeaseStore binds keys to leases, so that a key is held only as long as its lease
// is renewed. The methods are those of Store.
type LeaseStore interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
	Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (bool, error)
}
