package entry

import (
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// The HTTP statuses of refusals.
const (
	statusTooMany     = http.StatusTooManyRequests
	statusUnavailable = http.StatusServiceUnavailable
	statusBadGateway  = http.StatusBadGateway
)

type requestState int

// The phases of a request.
const (
	stateWaiting requestState = iota
	stateClaiming
	stateSent
	// probing: an upstream that failed the request is being probed before the
	// request is sent again.
	stateProbing
	stateCommitted
)

// request is one caller's request.
type request struct {
	core.Arrive
	state        requestState
	class        core.Class
	expectedCost uint64
	arrived      time.Time
	deadline     time.Time
	// avoidUntil are upstreams that failed this request, until a time.
	avoidUntil map[string]time.Time
	callerGone bool
	// wantsSecondSlot means that a sent request waits for a second slot.
	wantsSecondSlot bool
	// claimSlot is the slot held while the claim is decided.
	claimSlot slotKey
	attempts  []*attempt
	// committed is the attempt whose answer goes to the caller.
	committed *attempt
	tokens    uint64
	resumes   int
	moves     int
	// probedFailures are the attempts after which an upstream was probed, probes the
	// answers still to come.
	probedFailures, pendingProbes int
}

// attempt is one send of a request.
type attempt struct {
	number core.Attempt
	slot   slotKey
	sentAt time.Time
	cost   uint64
	// lastTokens is the number of tokens at markedAt, slowReports how many reports
	// in a row were slow.
	lastTokens   uint64
	lastProgress time.Time
	slowReports  int
	// mayHaveRun means that a byte may have reached the upstream.
	mayHaveRun bool
	// started means that its answer has begun.
	started  bool
	finished bool
}

// outcome is what can honestly be said before an answer was forwarded.
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
