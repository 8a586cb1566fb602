package claims

import (
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Kind says what is to be done with a request.
type Kind int

// The kinds of decision.
const (
	// Proceed: send the request, once.
	Proceed Kind = iota + 1
	// Replay: the operation has run; return its recorded answer.
	Replay
	// Refuse: refuse the request without sending it.
	Refuse
)

// Decision is the result of a request's claim.
type Decision struct {
	Request core.RequestID
	Kind    Kind
	// Answer is the recorded answer of a Replay.
	Answer []byte
	// Status is the HTTP status of a Replay or Refuse.
	Status  int
	Outcome core.Outcome
	Reason  core.Reason
	// RetryAfter is the time after which the caller may retry; zero if a retry is
	// of no use.
	RetryAfter time.Duration
}

// The times after which a refused caller may retry.
const (
	retryAfterInProgress = time.Second
	retryAfterStoreDown  = 2 * time.Second
	retryAfterUnknown    = 5 * time.Second
)

func proceed(r core.RequestID) Decision { return Decision{Request: r, Kind: Proceed} }

func replay(r core.RequestID, status int, answer []byte) Decision {
	return Decision{Request: r, Kind: Replay, Status: status, Answer: answer, Outcome: core.Complete}
}

// refuseTooLarge refuses a repeat of a finished operation whose answer was not
// kept.
func refuseTooLarge(r core.RequestID) Decision {
	return refuse(r, http.StatusConflict, core.MayHaveRun, core.ReasonTooLarge, 0)
}

// refuseKeyReused refuses an idempotency key that was used with another body.
func refuseKeyReused(r core.RequestID) Decision {
	return refuse(r, http.StatusUnprocessableEntity, core.NotRun, core.ReasonKeyReused, 0)
}

// refuseInProgress refuses a repeat of an operation that is still in progress or
// whose outcome is not recorded yet.
func refuseInProgress(r core.RequestID) Decision {
	return refuse(r, http.StatusConflict, core.MayHaveRun, core.ReasonInProgress, retryAfterInProgress)
}

// refuseUnknown refuses a request because another attempt may have run the
// operation. retryAfter is zero if a retry cannot find out whether it did.
func refuseUnknown(r core.RequestID, retryAfter time.Duration) Decision {
	return refuse(r, http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, retryAfter)
}

// refuseStoreDown refuses a request because the key-value service is unavailable
// or did not answer in time.
func refuseStoreDown(r core.RequestID, o core.Outcome) Decision {
	return refuse(r, http.StatusServiceUnavailable, o, core.ReasonStoreDown, retryAfterStoreDown)
}

func refuse(r core.RequestID, status int, o core.Outcome, reason core.Reason, retryAfter time.Duration) Decision {
	return Decision{Request: r, Kind: Refuse, Status: status, Outcome: o, Reason: reason, RetryAfter: retryAfter}
}
