package entry

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/claims"
	"github.com/jujubeford/jujubeford/internal/core"
)

// Hooks are the reducers that a request passes before and after a send.
type Hooks interface {
	// Quarantined reports whether a request is quarantined, and until when.
	Quarantined(now time.Time, org string, fingerprint [32]byte) (time.Time, bool)
	// BeginClaim asks for the claim of work that must run at most once.
	BeginClaim(now time.Time, ev core.Arrive) ([]core.Effect, []claims.Decision)
	// ClaimSent means that the claimed work was sent.
	ClaimSent(now time.Time, id core.RequestID)
	// FinishClaim records the outcome of claimed work.
	FinishClaim(now time.Time, id core.RequestID, status int, answer []byte) []core.Effect
	// FailClaim means that claimed work ended without an answer.
	FailClaim(now time.Time, id core.RequestID, sent bool) []core.Effect
	// AbandonClaim means that a claim is not wanted any more.
	AbandonClaim(now time.Time, id core.RequestID) []core.Effect
	// ReportCrash means that a request was in flight when an upstream crashed.
	ReportCrash(now time.Time, org string, fingerprint [32]byte, upstream string) []core.Effect
	// RecordFirstToken says how long an upstream took to its first token.
	RecordFirstToken(now time.Time, service, upstream string, latency time.Duration)
	// CountFirstSend counts the first send of a request.
	CountFirstSend(service string)
	// TakeRetry takes from the retry budget of a service.
	TakeRetry(service string) bool
	// HedgeDelay is how long to wait for a first token before a second send;
	// false means that there is too little to go by.
	HedgeDelay(service string) (time.Duration, bool)
	// TakeHedge takes from the hedge budget of a service.
	TakeHedge(service string) bool
}
