package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValue is the size of the largest value that the key-value service accepts,
// in bytes.
const MaxValue = 1 << 20

// The errors of a Store. Implementations may wrap them: compare with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrUnknown means that it is not known whether the call was executed. A write
	// may already have taken effect, may still take effect later, or never.
	ErrUnknown = errors.New("outcome of key-value call unknown")
	// ErrLeaseLost means that the lease has ended or never existed.
	ErrLeaseLost = errors.New("lease lost")
	// ErrTooLarge means that the value is larger than MaxValue. Nothing was
	// written.
	ErrTooLarge = errors.New("value too large")
)

// Entry is a key with its value. Index is the key's modify index, which grows
// with each write; compare-and-swap and watches compare against it.
type Entry struct {
	Key   string
	Value []byte
	Index uint64
}

// LeaseID identifies a lease.
type LeaseID string

// Store is the platform's key-value service. The service limits the rate of
// calls; each method counts as one call, also a Watch that waits.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys under a prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CAS writes value if the key's modify index equals index; index 0 means that
	// the key must not exist. It returns false without an error if the comparison
	// failed.
	CAS(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes the key if its modify index equals index. It returns false
	// without an error if the comparison failed.
	Delete(ctx context.Context, key string, index uint64) (bool, error)
	// Watch waits until the key's modify index is greater than index and returns
	// the entry. After wait it returns the entry unchanged.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Entry, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It returns ErrLeaseLost if the lease has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and releases the keys that it holds.
	Revoke(ctx context.Context, lease LeaseID) error
	// Acquire writes value and binds the key to the lease. It returns false
	// without an error if another live lease holds the key.
	Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (bool, error)
}

// InstanceState tells whether an instance accepts new requests.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID string
	// Service is the name of the service that the instance belongs to;
	// RouterService for routers.
	Service string
	// Addr is the instance's address as IP:port.
	Addr string
	// Domain is the instance's failure domain.
	Domain string
	State  InstanceState
}

// RouterService is the service name under which routers are listed.
const RouterService = "jujubeford"

// Directory is the platform's instance list. The list is eventually consistent:
// it shows a change some time after it happened.
type Directory interface {
	// Instances reads the instances of all services. With index 0 it returns at
	// once. With the next of an earlier call as index it waits until the list
	// changes, but not longer than wait.
	Instances(ctx context.Context, index uint64, wait time.Duration) (list []Instance, next uint64, err error)
}
