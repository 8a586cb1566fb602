package faults

import (
	"fmt"
	"maps"
	"slices"

	"github.com/jujubeford/jujubeford/internal/core"
)

// caller is the caller of one request, with what it has received.
type caller struct {
	request core.RequestArrived
	node    *node
	// disconnected means that the caller closed its connection.
	disconnected bool
	tokens       uint64
	// finals lists the ways in which the request ended. More than one is a
	// violation.
	finals  []string
	outcome core.Outcome
	reason  core.Reason
}

// recordFinal records the end of a request, unless its caller has disconnected.
func (f *fleet) recordFinal(id core.RequestID, kind string, outcome core.Outcome, reason core.Reason) {
	c := f.callers[id]
	if c.disconnected {
		return
	}
	c.finals = append(c.finals, kind)
	c.outcome, c.reason = outcome, reason
}

// callRouter sends a request from a new caller to a node under a new id, which it
// returns.
func (f *fleet) callRouter(n *node, ev core.RequestArrived) core.RequestID {
	f.serial++
	ev.Request = core.RequestID(fmt.Sprintf("%s-%d", n.id, f.serial))
	f.callers[ev.Request] = &caller{request: ev, node: n}
	switch {
	case !n.up || n.closing:
		f.callers[ev.Request].finals = []string{"no connection"}
	case !n.ready && n.state.Status().Generation == 0:
		// A router without a configuration refuses requests before they reach the
		// reducer.
		f.recordFinal(ev.Request, "refused", core.NotRun, core.ReasonNotReady)
	default:
		f.deliver(n, ev)
	}
	return ev.Request
}

// disconnect closes a caller's connection.
func (f *fleet) disconnect(id core.RequestID) {
	c := f.callers[id]
	c.finals, c.disconnected = []string{"gone"}, true
	f.deliver(c.node, core.CallerGone{Request: id})
}

// pending returns the ids of the requests at a node that have not ended.
func (f *fleet) pending(n *node) []core.RequestID {
	var out []core.RequestID
	for _, id := range slices.Sorted(maps.Keys(f.callers)) {
		if c := f.callers[id]; c.node == n && len(c.finals) == 0 {
			out = append(out, id)
		}
	}
	return out
}
