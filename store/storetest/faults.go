package storetest

import (
	"context"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// Outage is how a platform that is down handles calls.
type Outage int

// The outages.
const (
	// OutageNone ends an outage.
	OutageNone Outage = iota
	// OutageError fails each call with an error response and executes none.
	OutageError
	// OutageNoResponse accepts calls, but neither executes nor answers them.
	OutageNoResponse
	// OutageConnRefused refuses connections.
	OutageConnRefused
)

// Faults injects faults into one platform. Each method ends the fault that was
// in force before.
type Faults interface {
	// Clear ends all faults.
	Clear()
	// Outage starts an outage, or ends it with OutageNone.
	Outage(Outage)
	// DelayCalls delays each call.
	DelayCalls(time.Duration)
	// DropResponses executes the next n writes without sending a response.
	DropResponses(n int)
	// HoldWrites closes the connections of the next n writes and defers the writes
	// until ReleaseWrites.
	HoldWrites(n int)
	// ReleaseWrites executes the writes deferred by HoldWrites.
	ReleaseWrites()
	// DropWrites closes the connections of the next n writes and never executes
	// them.
	DropWrites(n int)
	// ServeStaleReads makes reads return the values as of now, whatever is written
	// later.
	ServeStaleReads()
	// StallConnections makes all connections open now transfer no more data,
	// without closing them.
	StallConnections()
	// ResetIndex renumbers all indexes, starting from a low one.
	ResetIndex()
	// WaitingCalls returns the number of calls that are waiting for a change.
	WaitingCalls() int
	// SetInstances replaces the actual instances, which the instance list shows
	// after its lag.
	SetInstances([]store.Instance)
	// FreezeInstances stops updates of the instance list.
	FreezeInstances()
}

const (
	// callTimeout limits a call that the adapter itself does not end.
	callTimeout = time.Minute
	// longWait is the wait of calls that a change is to wake.
	longWait = 30 * time.Second
	// shortWait is the wait of calls that are to end without a change.
	shortWait = 50 * time.Millisecond
	// eventuallyTimeout limits polling for an asynchronous effect.
	eventuallyTimeout = 20 * time.Second
	// pollInterval is the time between two polls for an asynchronous effect.
	pollInterval = 5 * time.Millisecond
)

// callContext returns a context for one call. If it expires the test fails,
// because the adapter has to set a deadline of its own.
func callContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	t.Cleanup(func() {
		if ctx.Err() != nil {
			t.Errorf("the adapter did not end a call within %v", callTimeout)
		}
		cancel()
	})
	return ctx
}
