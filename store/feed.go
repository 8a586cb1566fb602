package store

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the store does not have the changes after the requested
// position: it no longer keeps them, or it was restored from an older copy. The reader has
// to list all keys again.
var ErrCompacted = errors.New("history compacted")

// ErrLate means that the store did not answer in time. It may be away, or the answer may take
// too long.
var ErrLate = errors.New("no answer in time")

// Position is a place in the history of a store. A store that is restored from an older copy
// loses the end of its history, begins the next era, and gives the lost revisions out again.
// The zero Position is before all others.
type Position struct {
	// Era is 0 if the store does not name one.
	Era, Revision uint64
}

// Before reports whether p is earlier than o.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Revision < o.Revision
}

// String formats the position for logs.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// Change is a write of a key or, if Deleted is set, its removal.
type Change struct {
	Entry
	Deleted bool
}

// CompareChanges orders changes by revision, and those of one revision by key.
func CompareChanges(a, b Change) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Key, b.Key))
}

// Page is a part of a list of keys.
type Page struct {
	Entries []Entry
	// At is a position from before the page was read: the page contains every change of its
	// keys up to it, and possibly later ones of the same era. That of the first page holds for
	// the list of all pages.
	At Position
	// Next is the key after which the next page begins, empty for the last page.
	Next string
}

// Feed reads a store that numbers the writes to all keys by a single revision.
type Feed interface {
	// Page lists the keys under a prefix that are after a key, as many as the store returns
	// at once, in order.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits for changes under a prefix after a position and returns them, at least
	// the last one of each key, with the position to continue from, which is of the same era.
	// It returns no changes if there are none within wait, and ErrCompacted if the store does
	// not have the changes after the given position, or too many to be returned, and ErrLate
	// if there is no answer in time.
	Changes(ctx context.Context, prefix string, after Position, wait time.Duration) (changes []Change, at Position, err error)
}

// LeaseStore binds keys to leases, so that a key is held only as long as its lease
// is renewed. The methods are those of Store.
type LeaseStore interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
	Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (bool, error)
}
