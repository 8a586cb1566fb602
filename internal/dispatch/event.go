package dispatch

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/poison"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// Part is a section of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt describes the size of a model request, as known before it runs.
type Prompt struct {
	// Tokens is the length of the whole prompt, including its parts.
	Tokens int
	// MaxOutput is the upper bound on the number of generated tokens.
	MaxOutput int
	// OutputHint is the caller's estimate of the generated tokens, 0 if not given.
	OutputHint int
	// Parts lists the parts in prompt order; the last one is the request's own.
	Parts []Part
}

// ExpectedOutput returns the expected number of generated tokens: the hint if it is
// below MaxOutput, and MaxOutput otherwise.
func (p Prompt) ExpectedOutput() int {
	if p.OutputHint > 0 && p.OutputHint < p.MaxOutput {
		return p.OutputHint
	}
	return p.MaxOutput
}

// Request holds the properties of a request that dispatch decisions depend on.
type Request struct {
	ID           string
	Organisation string
	Route        *routing.Route
	Service      string
	Prompt       Prompt
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ResumeAfter is the id of the last event that the caller received of an
	// earlier answer, empty if the answer starts from the beginning.
	ResumeAfter string
	// Fingerprint is the same for each repetition of a request by its organisation; 0
	// if not known.
	Fingerprint uint64
}

// Instance is an upstream as listed by the directory.
type Instance struct {
	ID      string
	Service string
	Addr    string
	Domain  string
	// Draining upstreams get no new work.
	Draining bool
	Slots    int
	// Started is the start time of the instance in Unix milliseconds, 0 if not
	// known. It distinguishes restarts under the same id.
	Started int64
	// Cold is how long the instance stays cold, as its entry said when it was written.
	// ColdStated means that the entry says so, and ColdUnknown that what it says could not
	// be read.
	Cold                    time.Duration
	ColdStated, ColdUnknown bool
	// ColdUntil is the end of Cold, counted from when this router read the entry.
	ColdUntil time.Time
	// Entry identifies the version of the directory's entry among all of the instance; 0 if
	// not known. Departed means that the instance had left before, and that the directory has
	// this entry again only since it was restored from an older copy.
	Entry    uint64
	Departed bool
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

type (
	// Arrive adds a request. The State keeps it until its final effect (Refuse or
	// Fail), or until Done or CallerLeft.
	Arrive struct{ Request *Request }
	// FirstByteReceived reports the first bytes of an attempt's answer. For a model request
	// they mean that the prompt has been read.
	FirstByteReceived struct {
		ID      string
		Attempt int
	}
	// ErrorReceived is FirstByteReceived for an answer that is an error: its time does not
	// tell how long the work takes.
	ErrorReceived struct {
		ID      string
		Attempt int
	}
	// PauseMeasured reports the mean pause between the events of an attempt's stream. It comes
	// before Done.
	PauseMeasured struct {
		ID      string
		Attempt int
		Pause   time.Duration
	}
	// AbortDeclined reports that an attempt was not aborted as silent, because part of
	// its answer is waiting to be read.
	AbortDeclined struct {
		ID      string
		Attempt int
	}
	// Done reports that the whole answer has been delivered to the caller.
	Done struct {
		ID      string
		Attempt int
	}
	// Failed reports that an attempt ended without a complete answer.
	Failed struct {
		ID      string
		Attempt int
		Kind    core.Failure
		// Replaced means that a different instance answered at the address.
		Replaced bool
		// Unreachable means that nothing listens at the address.
		Unreachable bool
		// Local means that this router lacked file descriptors or memory for the
		// attempt.
		Local bool
		// Withheld means that the request was not sent because MayReach did not allow it.
		Withheld bool
		// MayHaveRun means that the upstream may have run the request.
		MayHaveRun bool
		// ResponseStarted means that part of the answer has been delivered to the caller.
		ResponseStarted bool
		// LastEventID is the id after which a stream that has started can be resumed, empty if
		// it cannot.
		LastEventID string
	}
	// InstanceReported reports what an instance stated about its own availability, along
	// with an answer.
	InstanceReported struct {
		// Instance is the instance that the request was sent to.
		Instance Instance
		// Leaving means that the instance is about to stop and takes no new work.
		Leaving bool
		// HoldOff is how long this router should send no requests to the instance, 0
		// if not stated.
		HoldOff time.Duration
		// Limit is the number of requests a second that the instance takes from all routers
		// together, 0 if it names no limit. LimitUnknown means that it could not be read.
		Limit        float64
		LimitUnknown bool
		// Cold is how long the instance stays cold, 0 if it does not say.
		Cold time.Duration
	}
	// Probed reports the result of a Probe.
	Probed struct {
		Upstream Instance
		// Connected means that the upstream still listens, and Refused that nothing listens
		// at its address: it has ended. If neither is set, it did not answer.
		Connected, Refused bool
	}
	// Moved reports that a stream has been stopped at its upstream so that it can
	// continue from the memory named by Handle.
	Moved struct {
		ID      string
		Attempt int
		// Handle names the request's memory. AtSource means that the memory is still
		// at the upstream where the stream ran, because the target could not take it.
		Handle   string
		AtSource bool
		// LastEventID is the id after which the stream can be resumed.
		LastEventID string
	}
	// MoveFailed reports that a move was not completed; the stream continues at
	// its upstream.
	MoveFailed struct {
		ID      string
		Attempt int
	}
	// CallerLeft reports that the caller has disconnected.
	CallerLeft struct{ ID string }
	// Stopping ends all requests: this router is about to stop.
	Stopping struct{}
	// Tick reports that time has passed.
	Tick struct{}
	// TableChanged replaces the routing table.
	TableChanged struct{ Table *routing.Table }
	// InstancesChanged replaces the list of upstreams and that of evacuated domains.
	InstancesChanged struct {
		Instances []Instance
		// Since is the earliest time at which the last changes of the list may have been made,
		// zero if that is not known.
		Since time.Time
		// Evacuated holds the evacuated failure domains, with the time at which this router
		// learnt of each. Their upstreams get no new work.
		Evacuated map[string]time.Time
	}
	// PeerReported delivers the report of another router.
	PeerReported struct {
		Peer   string
		Report Report
	}
	// FleetChanged reports the number of routers, this one included.
	FleetChanged struct {
		Routers int
		// AggregatedByDomain means that the reports of other failure domains arrive
		// aggregated per domain, so that they are a few reports old.
		AggregatedByDomain bool
		// Self names this router, and Registered all that are registered, this one
		// included, the same at each router.
		Self       string
		Registered []string
		// Domains has the failure domains of the registered routers, by name.
		Domains map[string]string
	}
	// PeerLost reports that a router no longer sends reports.
	PeerLost struct{ Peer string }
)

func (Arrive) isEvent()            {}
func (FirstByteReceived) isEvent() {}
func (ErrorReceived) isEvent()     {}
func (PauseMeasured) isEvent()     {}
func (AbortDeclined) isEvent()     {}
func (Done) isEvent()              {}
func (Failed) isEvent()            {}
func (InstanceReported) isEvent()  {}
func (Probed) isEvent()            {}
func (Moved) isEvent()             {}
func (MoveFailed) isEvent()        {}
func (CallerLeft) isEvent()        {}
func (Stopping) isEvent()          {}
func (Tick) isEvent()              {}
func (TableChanged) isEvent()      {}
func (InstancesChanged) isEvent()  {}
func (PeerReported) isEvent()      {}
func (FleetChanged) isEvent()      {}
func (PeerLost) isEvent()          {}

// Reason states why a request was refused or failed.
type Reason string

// The reasons. docs/OPERATIONS.md explains them to operators.
const (
	// ReasonNoUpstream: no upstream takes work before the request's queue deadline.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonEvacuated: the upstreams that would take the request are in evacuated domains.
	ReasonEvacuated Reason = "domains-evacuated"
	// ReasonRegion: no upstream is in a region that the route and the organisation allow.
	ReasonRegion Reason = "no-allowed-region"
	// ReasonOverloaded: the queue is too long for the request to be served in time.
	ReasonOverloaded Reason = "overloaded"
	// ReasonOverShare: the organisation is over its share.
	ReasonOverShare Reason = "over-share"
	// ReasonWaited: no upstream had room before the queue deadline.
	ReasonWaited Reason = "waited-too-long"
	// ReasonNotExecuted: the attempt failed and the retry budget is exhausted.
	ReasonNotExecuted Reason = "upstream-refused"
	// ReasonMayHaveRun: the request may have run and must not run twice.
	ReasonMayHaveRun Reason = "may-have-run"
	// ReasonAttempts: an attempt failed, and no attempts or no time are left.
	ReasonAttempts Reason = "attempts-spent"
	// ReasonTimeout: the attempt was not complete when the request expired.
	ReasonTimeout Reason = "timeout"
	// ReasonTooLarge: prompt and output do not fit into an engine's cache.
	ReasonTooLarge Reason = "prompt-too-large"
	// ReasonBroken: the answer broke off after part of it had been delivered, and it
	// cannot be resumed.
	ReasonBroken Reason = "stream-broken"
	// ReasonCrashes: requests like this one have crashed several upstreams.
	ReasonCrashes Reason = "crashes-upstreams"
	// ReasonResources: this router lacked file descriptors or memory for the attempt.
	ReasonResources Reason = "router-resources"
	// ReasonStopping: this router stops before the request could end.
	ReasonStopping Reason = "router-stopping"
)

// Effect is an action that State.Step requests for one request.
type Effect interface{ RequestID() string }

type (
	// Send starts an attempt at an upstream.
	Send struct {
		ID       string
		Attempt  int
		Upstream Instance
		// FetchFrom is the address of an upstream that caches more of the prompt and
		// that the cached parts are copied from, empty if there is none.
		FetchFrom string
		// ResumeAfter is the id of the last event delivered to the caller, empty if
		// the answer starts from the beginning.
		ResumeAfter string
		// ContinueFrom names the request's memory at an upstream, as address and handle,
		// from which the attempt continues a moved stream; empty otherwise.
		ContinueFrom string
		// ExpiresAt is the time by which the attempt has to end.
		ExpiresAt time.Time
		// Waited, Predicted and Backlog are inputs of the decision, for logs: the
		// queueing time, the predicted time to the first byte and the prefill work
		// queued at the upstream. Cached is the number of prompt tokens that the
		// upstream has cached or copies.
		Waited, Predicted, Backlog time.Duration
		Cached                     int
		Share                      Share
		Size                       Size
		// Limited means that the upstream had named a limit.
		Limited bool
	}
	// Refuse ends a request that has not run and will not run.
	Refuse struct {
		ID         string
		Reason     Reason
		RetryAfter time.Duration
		// Share and Size are inputs of the decision, for logs.
		Share Share
		Size  Size
	}
	// Fail ends a request that may have run, and aborts its attempt.
	Fail struct {
		ID      string
		Reason  Reason
		Timeout bool
	}
	// Move hands a running stream over to another upstream. It is followed by
	// Moved, by MoveFailed or by the end of the attempt.
	Move struct {
		ID       string
		Attempt  int
		From, To Instance
	}
	// BlockChanged tells that requests with a trait are refused from now on, or no longer,
	// because of crashes.
	BlockChanged struct{ poison.Change }
	// LimitChanged tells that another limit of an upstream is in force, in requests per
	// second, 0 for none. Part is the rate at which this router may send, Age the time since an
	// answer named the limit, and Routers the number that it is divided for.
	LimitChanged struct {
		Upstream                Instance
		PerSecond, Before, Part float64
		Age                     time.Duration
		Routers                 int
	}
	// DomainEmptied tells that nothing runs in an evacuated failure domain any more. After is
	// the time since this router learnt of the evacuation.
	DomainEmptied struct {
		Domain string
		After  time.Duration
	}
	// SpeedChanged tells that an upstream counts as slow or fast by nature from now on, or as
	// neither. Speed is a multiple of the mean of its service.
	SpeedChanged struct {
		Upstream   Instance
		Speed      float64
		Slow, Fast bool
	}
	// Probe connects to an upstream whose connections broke, to tell a crash from the
	// loss of connections. It is followed by Probed. ID is the first request that broke.
	Probe struct {
		ID       string
		Upstream Instance
	}
	// Abort aborts a silent attempt. It is followed by Failed or, if part of the
	// answer has arrived meanwhile, by AbortDeclined.
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

// RequestID implements Effect. The effect concerns no single request.
func (e BlockChanged) RequestID() string { return "" }

// RequestID implements Effect. The effect concerns no single request.
func (e LimitChanged) RequestID() string { return "" }

// RequestID implements Effect. The effect concerns no single request.
func (e SpeedChanged) RequestID() string { return "" }

// RequestID implements Effect. The effect concerns no single request.
func (e DomainEmptied) RequestID() string { return "" }

// RequestID implements Effect.
func (e Probe) RequestID() string { return e.ID }

// RequestID implements Effect.
func (e Abort) RequestID() string { return e.ID }
