package entry

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/claims"
	"github.com/jujubeford/jujubeford/internal/core"
)

// Hooks connects the entry to the reducers for quarantine, claims and upstream
// health.
type Hooks interface {
	// Quarantined reports whether a request is quarantined, and until when.
	Quarantined(now time.Time, org string, fingerprint [32]byte) (time.Time, bool)
	// BeginClaim requests the claim of work that must run at most once.
	BeginClaim(now time.Time, ev core.RequestArrived) ([]core.Effect, []claims.Decision)
	// ClaimSent records that claimed work was sent.
	ClaimSent(now time.Time, id core.RequestID)
	// FinishClaim records the outcome of claimed work.
	FinishClaim(now time.Time, id core.RequestID, status int, answer []byte) []core.Effect
	// FailClaim records that claimed work ended without an answer.
	FailClaim(now time.Time, id core.RequestID, sent bool) []core.Effect
	// AbandonClaim gives up a claim that is no longer needed.
	AbandonClaim(now time.Time, id core.RequestID) []core.Effect
	// ReportCrash records that a request was in flight when an upstream
	// crashed.
	ReportCrash(now time.Time, org string, fingerprint [32]byte, upstream string) []core.Effect
	// ReportSuccess records that an upstream completed a request.
	ReportSuccess(now time.Time, org string, fingerprint [32]byte) []core.Effect
	// RecordFirstByte records an upstream's time to the first byte of an
	// answer.
	RecordFirstByte(now time.Time, service, upstream string, latency time.Duration)
	// RecordFirstSend counts the first send of a request.
	RecordFirstSend(service string)
	// TakeRetry takes a retry from the retry budget of a service, and reports
	// whether the budget allowed it.
	TakeRetry(service string) bool
	// HedgeDelay returns how long to wait for the first byte of an answer
	// before a second send; false if there are too few samples to tell.
	HedgeDelay(service string) (time.Duration, bool)
	// TakeHedge takes a hedge from the hedge budget of a service, and reports
	// whether the budget allowed it.
	TakeHedge(service string) bool
}
