package claims

import (
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Kind is what is to be done with a request.
type Kind int

// The kinds of decision.
const (
	// Proceed: the request may be sent, once.
	Proceed Kind = iota + 1
	// Replay: the operation ran; its recorded answer is the answer.
	Replay
	// Refuse: the request is not sent.
	Refuse
)

// Decision ends the wait of one request.
type Decision struct {
	Request core.RequestID
	Kind    Kind
	// Answer is the recorded answer of a Replay.
	Answer []byte
	// Status is the HTTP status of a Replay or Refuse.
	Status  int
	Outcome core.Outcome
	Reason  core.Reason
	// RetryAfter is when the caller may come back; zero if that is of no use.
	RetryAfter time.Duration
}

// The times after which a refused caller may come back.
const (
	retryAfterInProgress = time.Second
	retryAfterStoreDown  = 2 * time.Second
	retryAfterUnknown    = 5 * time.Second
)

func proceed(r core.RequestID) Decision { return Decision{Request: r, Kind: Proceed} }

func replay(r core.RequestID, status int, answer []byte) Decision {
	return Decision{Request: r, Kind: Replay, Status: status, Answer: answer, Outcome: core.Complete}
}

// refuseTooLarge refuses a repeat of a finished operation whose answer was not kept.
func refuseTooLarge(r core.RequestID) Decision {
	return refuse(r, http.StatusConflict, core.MayHaveRun, core.ReasonTooLarge, 0)
}

func refuseKeyReused(r core.RequestID) Decision {
	return refuse(r, http.StatusUnprocessableEntity, core.NotRun, core.ReasonKeyReused, 0)
}

func refuseInProgress(r core.RequestID) Decision {
	return refuse(r, http.StatusConflict, core.MayHaveRun, core.ReasonInProgress, retryAfterInProgress)
}

// refuseUnknown refuses because another attempt may have run; wait is zero if that
// will never be known.
func refuseUnknown(r core.RequestID, retryAfter time.Duration) Decision {
	return refuse(r, http.StatusConflict, core.MayHaveRun, core.ReasonClaimUnknown, retryAfter)
}

func refuseStoreDown(r core.RequestID, o core.Outcome) Decision {
	return refuse(r, http.StatusServiceUnavailable, o, core.ReasonStoreDown, retryAfterStoreDown)
}

func refuse(r core.RequestID, status int, o core.Outcome, reason core.Reason, retryAfter time.Duration) Decision {
	return Decision{Request: r, Kind: Refuse, Status: status, Outcome: o, Reason: reason, RetryAfter: retryAfter}
}
