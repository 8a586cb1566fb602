package storetest

import (
	"context"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// Outage is how a platform is out.
type Outage int

// The outages.
const (
	// OutageNone ends an outage.
	OutageNone Outage = iota
	// OutageError answers each call with an error, before any effect.
	OutageError
	// OutageNoResponse never answers, and nothing takes effect.
	OutageNoResponse
	// OutageConnRefused refuses connections.
	OutageConnRefused
)

// Faults switches the faults of one platform. Each method ends the fault that
// was in force before.
type Faults interface {
	// Clear ends all faults.
	Clear()
	// Outage puts the platform out.
	Outage(Outage)
	// DelayCalls delays each call.
	DelayCalls(time.Duration)
	// DropResponses lets the next n writes take effect without an answer.
	DropResponses(n int)
	// HoldWrites cuts the connections of the next n writes and holds the writes
	// back until ReleaseWrites.
	HoldWrites(n int)
	// ReleaseWrites lets the writes that are held back take effect.
	ReleaseWrites()
	// DropWrites cuts the connections of the next n writes, which never take
	// effect.
	DropWrites(n int)
	// ServeStaleReads serves the values of this moment.
	ServeStaleReads()
	// StallConnections makes the connections that are open now silent for good.
	StallConnections()
	// ResetIndex numbers all indexes anew from a low one.
	ResetIndex()
	// WaitingCalls is the number of watches that wait now.
	WaitingCalls() int
	// SetInstances replaces the truth behind the instance list.
	SetInstances([]store.Instance)
	// FreezeInstances keeps the instance list as it is.
	FreezeInstances()
}

const (
	// callTimeout ends a test whose call does not come back by itself.
	callTimeout = time.Minute
	// longWait is the wait of a watch that is to be woken.
	longWait = 30 * time.Second
	// shortWait is the wait of a watch that is to run out.
	shortWait = 50 * time.Millisecond
	// eventuallyTimeout bounds the waiting for something that comes by itself.
	eventuallyTimeout = 20 * time.Second
	// pollInterval is the time between two looks.
	pollInterval = 5 * time.Millisecond
)

// callContext is a context for one call. The test fails if it ran out, for then the
// adapter has no deadline of its own.
func callContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	t.Cleanup(func() {
		if ctx.Err() != nil {
			t.Errorf("a call did not end by itself within %v", callTimeout)
		}
		cancel()
	})
	return ctx
}
