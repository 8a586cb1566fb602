package dispatch

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is what is known of a model request's size before it runs.
type Prompt struct {
	// Tokens is the length of the whole prompt, its parts included.
	Tokens int
	// MaxOutput bounds the generated tokens.
	MaxOutput int
	// OutputHint is the caller's estimate of them, 0 if there is none.
	OutputHint int
	// Parts are in the order of the prompt; the last is the request's own.
	Parts []Part
}

// Output is the expected number of generated tokens.
func (p Prompt) Output() int {
	if p.OutputHint > 0 && p.OutputHint < p.MaxOutput {
		return p.OutputHint
	}
	return p.MaxOutput
}

// Request is what the decisions need to know of a request.
type Request struct {
	ID           string
	Organisation string
	Route        *routing.Route
	Service      string
	Prompt       Prompt
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ResumeAfter is the id of the last event that the caller has of an earlier
	// answer, empty if it starts anew.
	ResumeAfter string
}

// Instance is an upstream as the directory lists it.
type Instance struct {
	ID      string
	Service string
	Addr    string
	Domain  string
	// Draining upstreams get no new work.
	Draining bool
	Slots    int
	// Started tells one start of an instance from the next under the same id,
	// in Unix milliseconds; 0 if it is not known.
	Started int64
}

// Event is something that happened.
type Event interface{ isEvent() }

type (
	// Arrive takes in a request. The State keeps it until its final effect, or
	// until Done or Left.
	Arrive struct{ Request *Request }
	// Answered means that the first bytes of the answer have come, which for a
	// model request means that its prompt has been read.
	Answered struct {
		ID      string
		Attempt int
	}
	// Heard means that an attempt was not broken off as silent, since part of its
	// answer waits to be read.
	Heard struct {
		ID      string
		Attempt int
	}
	// Done means that the whole answer has been delivered.
	Done struct {
		ID      string
		Attempt int
	}
	// Failed means that an attempt ended without a whole answer.
	Failed struct {
		ID      string
		Attempt int
		Kind    core.Failure
		// Replaced means that another instance answered at the address.
		Replaced bool
		// Unreachable means that nothing listens at the address.
		Unreachable bool
		// Local means that this router had no descriptor or memory for it.
		Local bool
		// Ran means that the upstream may have run the request.
		Ran bool
		// Began means that part of the answer has been delivered.
		Began bool
		// LastEvent is the id of the last event that was delivered.
		LastEvent string
	}
	// Advised is what an instance said of itself beside an answer.
	Advised struct {
		// Instance is the one that the request was sent to.
		Instance Instance
		// Leaving means that it is about to stop and takes no new work.
		Leaving bool
		// HoldOff is for how long it wants no requests from this router, 0 if it does
		// not say.
		HoldOff time.Duration
	}
	// Moved means that the upstream of a stream has stopped it and that its memory
	// can be taken up.
	Moved struct {
		ID      string
		Attempt int
		// Handle names the memory. AtSource means that it is still where the
		// stream ran, since the target could not take it.
		Handle   string
		AtSource bool
		// LastEvent is the id of the last event that was delivered.
		LastEvent string
	}
	// MoveFailed means that a move came to nothing; the stream goes on.
	MoveFailed struct {
		ID      string
		Attempt int
	}
	// Left means that the caller has gone.
	Left struct{ ID string }
	// Tick lets time pass.
	Tick struct{}
	// TableChanged puts a version of the routes in force.
	TableChanged struct{ Table *routing.Table }
	// InstancesChanged replaces the list of upstreams.
	InstancesChanged struct{ Instances []Instance }
	// PeerReported takes what another router has under way.
	PeerReported struct {
		Peer   string
		Report Report
	}
	// FleetChanged says how many routers there are, this one included.
	FleetChanged struct {
		Routers int
		// ByDomain means that routers of other failure domains do not report one
		// by one: what is known of them is a few reports old.
		ByDomain bool
	}
	// PeerLost drops a router that is no longer heard of.
	PeerLost struct{ Peer string }
)

func (Arrive) isEvent()           {}
func (Answered) isEvent()         {}
func (Heard) isEvent()            {}
func (Done) isEvent()             {}
func (Failed) isEvent()           {}
func (Advised) isEvent()          {}
func (Moved) isEvent()            {}
func (MoveFailed) isEvent()       {}
func (Left) isEvent()             {}
func (Tick) isEvent()             {}
func (TableChanged) isEvent()     {}
func (InstancesChanged) isEvent() {}
func (PeerReported) isEvent()     {}
func (FleetChanged) isEvent()     {}
func (PeerLost) isEvent()         {}

// Reason says why a request was refused or failed.
type Reason string

// The reasons. docs/OPERATIONS.md explains each.
const (
	ReasonNoUpstream  Reason = "no-upstream"
	ReasonOverloaded  Reason = "overloaded"
	ReasonOverShare   Reason = "over-share"
	ReasonWaited      Reason = "waited-too-long"
	ReasonNotExecuted Reason = "upstream-refused"
	ReasonMayHaveRun  Reason = "may-have-run"
	ReasonAttempts    Reason = "attempts-spent"
	ReasonTimeout     Reason = "timeout"
	ReasonTooLarge    Reason = "prompt-too-large"
	ReasonBroken      Reason = "stream-broken"
	ReasonResources   Reason = "router-resources"
)

// Effect is something to be done for a request.
type Effect interface{ RequestID() string }

type (
	// Send starts an attempt.
	Send struct {
		ID       string
		Attempt  int
		Upstream Instance
		// FetchFrom is the address of an upstream that keeps more of the prompt,
		// empty if there is none.
		FetchFrom string
		// ResumeAfter is the last event that was delivered, empty for a start.
		ResumeAfter string
		// Continue names memory of the request at an upstream, address and handle,
		// that the attempt takes up; empty for others.
		Continue string
		// Until is when the attempt has to be over.
		Until time.Time
		// Waited, Predicted and Backlog are the inputs of the decision, for logs,
		// and Cached is how many prompt tokens the upstream keeps or copies.
		Waited, Predicted, Backlog time.Duration
		Cached                     int
		Share                      Share
	}
	// Refuse ends a request that has not run and never will.
	Refuse struct {
		ID         string
		Reason     Reason
		RetryAfter time.Duration
		// Share is an input of the decision, for logs.
		Share Share
	}
	// Fail ends a request that may have run, and breaks off its attempt.
	Fail struct {
		ID      string
		Reason  Reason
		Timeout bool
	}
	// Move hands a running stream over to another upstream. It ends with Moved or
	// MoveFailed, or with the attempt.
	Move struct {
		ID       string
		Attempt  int
		From, To Instance
	}
	// Abort breaks off an attempt that is silent; its Failed event is awaited, or
	// Heard if it is not.
	Abort struct {
		ID      string
		Attempt int
	}
)

// RequestID implements Effect.
func (e Send) RequestID() string { return e.ID }

// RequestID implements Effect.
func (e Refuse) RequestID() string { return e.ID }

// RequestID implements Effect.
func (e Fail) RequestID() string { return e.ID }

// RequestID implements Effect.
func (e Move) RequestID() string { return e.ID }

// RequestID implements Effect.
func (e Abort) RequestID() string { return e.ID }
