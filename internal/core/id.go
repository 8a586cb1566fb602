package core

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/wire"
)

// RouterID identifies one incarnation of a router: "name.incarnation". A router
// that restarts gets a new one.
type RouterID string

// RequestID identifies a request. It starts with the name of the router that
// accepted the request, so that any router can find its record.
type RequestID string

// Attempt numbers the sends of one request, from 1.
type Attempt int

// GrantID identifies a slot granted by an owner; it is unique within the
// owner's incarnation.
type GrantID uint64

// OpID matches the result of an effect to the effect that asked for it.
type OpID uint64

// Class is the expected size class of a request.
type Class = wire.Class

// The size classes.
const (
	ClassUnknown = wire.Class_CLASS_UNKNOWN
	ClassShort   = wire.Class_CLASS_SHORT
	ClassLong    = wire.Class_CLASS_LONG
)

// Outcome tells a caller whether its work ran.
type Outcome string

// The outcomes, as written to the answer's header or trailer.
const (
	// Complete: the whole answer was delivered.
	Complete Outcome = "complete"
	// NotRun: no byte of the request reached an upstream.
	NotRun Outcome = "not-run"
	// MayHaveRun: an upstream may have seen the request.
	MayHaveRun Outcome = "may-have-run"
)

// Reason is why a request was refused or failed. It is a stable token that
// callers and operators may match on.
type Reason string

// The reasons.
const (
	ReasonUnknownKey     Reason = "unknown-key"
	ReasonForbidden      Reason = "service-not-allowed"
	ReasonUnknownService Reason = "unknown-service"
	ReasonBadRequest     Reason = "bad-request"
	// ReasonTooLarge: the body is too large, or the recorded answer was too large
	// to keep.
	ReasonTooLarge    Reason = "too-large"
	ReasonQueueFull   Reason = "queue-full"
	ReasonWaitTooLong Reason = "wait-too-long"
	ReasonNoUpstream  Reason = "no-upstream"
	ReasonDraining    Reason = "draining"
	ReasonNotReady    Reason = "not-ready"
	// ReasonPoison: the request is quarantined, because it crashed upstreams.
	ReasonQuarantined Reason = "poison"
	ReasonKeyRequired Reason = "idempotency-key-required"
	// ReasonKeyReused: the idempotency key was used with another request.
	ReasonKeyReused Reason = "idempotency-key-reused"
	// ReasonInProgress: the same operation is in progress, or its outcome is not
	// recorded yet.
	ReasonInProgress Reason = "in-progress"
	// ReasonClaimUnknown: another attempt may have run the operation.
	ReasonClaimUnknown Reason = "claim-unknown"
	// ReasonStoreDown: the key-value service is unavailable or did not answer in
	// time.
	ReasonStoreDown      Reason = "store-unavailable"
	ReasonUpstreamFailed Reason = "upstream-failed"
	ReasonUpstreamSilent Reason = "upstream-silent"
	ReasonRetryBudget    Reason = "retry-budget-spent"
	ReasonCallerGone     Reason = "caller-gone"
	ReasonDeadline       Reason = "deadline"
	ReasonShutdown       Reason = "shutdown"
)

// UpstreamState tells whether an upstream accepts new work.
type UpstreamState int

// The states of an upstream.
const (
	UpstreamUp UpstreamState = iota
	UpstreamLeaving
	UpstreamGone
)

// Upstream is an instance behind a service, from the instance list.
type Upstream struct {
	ID      string
	Service string
	// Addr is IP:port.
	Addr   string
	Domain string
	State  UpstreamState
}

// Peer is a router as the membership reducer sees it.
type Peer struct {
	ID        RouterID
	Name      string
	Domain    string
	PeerAddr  string
	AdminAddr string
	State     wire.MemberState
	// Generation is the generation of the configuration in force at the router.
	Generation uint64
	// LastHeard is when the router was last heard of directly; zero if never.
	LastHeard time.Time
}
