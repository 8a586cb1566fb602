package core

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// Event is an input to the reducer; it is one of the event types of this
// package.
type Event interface{ event() }

// Tick means that time has passed. The runtime sends it at the time that the
// reducer's Wake returned, or later.
type Tick struct{}

// RequestArrived means that a request was read from a caller. Its organisation and
// service are known.
type RequestArrived struct {
	Request      RequestID
	Organisation string
	Service      string
	Method       string
	Path         string
	// AtMostOnce marks work that must run at most once. Key is then the caller's
	// Idempotency-Key.
	AtMostOnce bool
	Key        string
	// Idempotent reports whether the request may be sent again after a failure.
	Idempotent bool
	// Fingerprint is the SHA-256 of method, path and body.
	Fingerprint [32]byte
	// PrefixHash is a hash of the start of the prompt, 0 if there is none.
	PrefixHash uint64
	// CostHint is the caller's estimate of the cost in the service's unit, 0 if
	// there is none.
	CostHint uint64
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
}

// CallerGone means that the caller closed its connection.
type CallerGone struct{ Request RequestID }

// AttemptFirstByte means that the first byte of an answer arrived. The runtime
// buffers the answer until a Commit names the attempt.
type AttemptFirstByte struct {
	Request RequestID
	Attempt Attempt
	// Status is the HTTP status.
	Status int
}

// AttemptProgress reports the progress of a committed attempt.
type AttemptProgress struct {
	Request RequestID
	Attempt Attempt
	// Tokens is the number of tokens received so far.
	Tokens uint64
	// Gap is the longest time between two tokens since the last report.
	Gap time.Duration
}

// AttemptDone means that an attempt's answer is complete and ended explicitly.
type AttemptDone struct {
	Request RequestID
	Attempt Attempt
	Status  int
	// Cost is the final cost in the service's unit.
	Cost uint64
	// Answer is the recorded answer of work that must run at most once, in the
	// format that the runtime replays; nil if it is too large to keep.
	Answer []byte
	// Leaving means that the upstream said it is leaving.
	Leaving bool
}

// Failure is the way in which an attempt failed.
type Failure int

// The failures.
const (
	// FailDial: no connection could be established; nothing was sent.
	FailDial Failure = iota + 1
	// FailRefused: the upstream answered that it did not run the request.
	FailRefused
	// FailReset: the connection broke.
	FailReset
	// FailIdle: nothing was received for the service's SilentAfter.
	FailIdle
	// FailTruncated: the answer ended without its end mark.
	FailTruncated
	// FailStatus: the upstream answered with a server error.
	FailStatus
	// FailCancelled: the runtime cancelled it on a Cancel effect.
	FailCancelled
)

// String returns the name of the failure in records and logs.
func (f Failure) String() string {
	names := [...]string{"none", "dial", "refused", "reset", "silent", "truncated", "status", "cancelled"}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// AttemptFailed means that an attempt ended without a complete answer.
type AttemptFailed struct {
	Request RequestID
	Attempt Attempt
	Failure Failure
	// Sent reports whether a byte of the request may have reached the upstream.
	Sent bool
	// Tokens is the number of tokens that were forwarded to the caller.
	Tokens uint64
	// Leaving means that the upstream said it is leaving.
	Leaving bool
}

// Probed answers a Probe.
type Probed struct {
	Probe Probe
	// Alive reports whether the upstream accepted a connection.
	Alive bool
}

// PeerUp means that an authenticated connection to a router was established.
type PeerUp struct{ Member *wire.Member }

// PeerDown means that the last connection to a router was closed.
type PeerDown struct{ Peer RouterID }

// DialFailed means that a Dial effect did not lead to a PeerUp.
type DialFailed struct{ Addr string }

// PeerMessage is a message from an authenticated router.
type PeerMessage struct {
	From    RouterID
	Message *wire.Envelope
}

// KVStatus is the result of a key-value call.
type KVStatus int

// The results of a key-value call.
const (
	// KVOK: the call took effect, or the read returned a value.
	KVOK KVStatus = iota + 1
	// KVConflict: the comparison failed; nothing was written.
	KVConflict
	// KVNotFound: a read found no such key.
	KVNotFound
	// KVUnknown: no answer arrived; a write may take effect now or later, or
	// not at all.
	KVUnknown
	// KVUnavailable: the call was certainly not carried out.
	KVUnavailable
	// KVLeaseLost: the lease that the call named has ended.
	KVLeaseLost
)

// KVResult answers a key-value effect.
type KVResult struct {
	Op     OpID
	Status KVStatus
	Key    string
	Value  []byte
	// Index is the key's modify index, for a later compare-and-swap.
	Index uint64
}

// Instances is the platform's instance list, which lags behind the actual
// state.
type Instances struct {
	Upstreams []Upstream
	// Routers are the peer addresses of the listed routers.
	Routers []string
}

// ConfigHead is the head of a configuration as read from the key-value service
// or received from a peer, with its parts fetched and checked.
type ConfigHead struct {
	Generation uint64
	Digest     string
	Config     *config.Config
	// Head and Parts are the stored bytes, for peers that request them.
	Head  []byte
	Parts [][]byte
}

// Drain makes the router finish its requests and stop.
type Drain struct{}

// DrainExpired ends a drain at its time limit: every remaining request gets its final
// answer now.
type DrainExpired struct{}

// LiftQuarantine lifts a quarantine at an operator's request.
type LiftQuarantine struct {
	Organisation string
	Fingerprint  [32]byte
}

func (Tick) event()             {}
func (RequestArrived) event()   {}
func (CallerGone) event()       {}
func (AttemptFirstByte) event() {}
func (AttemptProgress) event()  {}
func (AttemptDone) event()      {}
func (AttemptFailed) event()    {}
func (Probed) event()           {}
func (PeerUp) event()           {}
func (PeerDown) event()         {}
func (DialFailed) event()       {}
func (PeerMessage) event()      {}
func (KVResult) event()         {}
func (Instances) event()        {}
func (ConfigHead) event()       {}
func (Drain) event()            {}
func (DrainExpired) event()     {}
func (LiftQuarantine) event()   {}
