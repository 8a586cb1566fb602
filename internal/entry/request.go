package entry

import (
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// The HTTP status codes of refusals.
const (
	statusTooMany     = http.StatusTooManyRequests
	statusUnavailable = http.StatusServiceUnavailable
	statusBadGateway  = http.StatusBadGateway
)

// requestState is the state of a request that has not ended.
type requestState int

// The states of a request.
const (
	stateWaiting requestState = iota
	stateClaiming
	stateSent
	// stateProbing: an upstream that failed the request is being probed before
	// the request is sent again.
	stateProbing
	stateCommitted
)

// request is the state of a caller's request.
type request struct {
	core.RequestArrived
	state        requestState
	class        core.Class
	expectedCost uint64
	arrived      time.Time
	deadline     time.Time
	// avoidUntil holds the upstreams that the request must not go to, each
	// until a time.
	avoidUntil map[string]time.Time
	callerGone bool
	// wantsSecondSlot means that a sent request is queued for a second slot,
	// for a hedge or a move.
	wantsSecondSlot bool
	// claimSlot is the slot that is held while the claim is decided.
	claimSlot slotKey
	attempts  []*attempt
	// committed is the attempt whose answer is forwarded to the caller.
	committed *attempt
	tokens    uint64
	resumes   int
	moves     int
	// probedFailures is the number of failed attempts after which an upstream
	// was probed, pendingProbes the number of probes without an answer.
	probedFailures, pendingProbes int
}

// attempt is one send of a request.
type attempt struct {
	number core.Attempt
	slot   slotKey
	sentAt time.Time
	cost   uint64
	// lastTokens is the number of tokens at lastProgress, slowReports the
	// number of slow reports in a row.
	lastTokens   uint64
	lastProgress time.Time
	slowReports  int
	// mayHaveRun means that a byte of the request may have reached the
	// upstream.
	mayHaveRun bool
	// started means that the answer has begun.
	started  bool
	finished bool
}

// outcome returns what is known about the request before any of its answer was
// forwarded.
func (r *request) outcome() core.Outcome {
	for _, a := range r.attempts {
		if a.mayHaveRun {
			return core.MayHaveRun
		}
	}
	return core.NotRun
}

func (r *request) liveAttempts() []*attempt {
	var out []*attempt
	for _, a := range r.attempts {
		if !a.finished {
			out = append(out, a)
		}
	}
	return out
}

func (r *request) attempt(n core.Attempt) *attempt {
	if n < 1 || int(n) > len(r.attempts) {
		return nil
	}
	return r.attempts[n-1]
}

func (r *request) avoids(now time.Time, upstream string) bool {
	until, ok := r.avoidUntil[upstream]
	return ok && now.Before(until)
}
