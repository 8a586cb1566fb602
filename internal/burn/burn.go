// Package burn counts how many requests met their service-level objectives, by
// service, organisation and minute, and reports how fast error budgets burn.
//
// Each router records its requests in a Ledger, which answers a Query with a
// Document. A Merger combines the documents of many routers into one Report. The
// package does no I/O and reads no clock: callers pass the time. Nothing here is
// safe for concurrent use.
//
// Memory is bounded. An account is a pair of organisation and service. A ledger
// keeps at most MinutesKept minutes of each account, at most maxAccounts accounts,
// and at most maxMinutes minutes over all accounts, which is under 40 MB;
// histograms add half a megabyte for each service. Minutes without a request take
// no memory. When there are too many minutes, the oldest of all accounts are
// dropped: long windows then count fewer requests of organisations than there
// were, and the report states since when the counts are complete. When there are
// too many accounts, the least recently used one is dropped with its history, and
// the report states how many were dropped. The minutes of services are dropped
// only by age.
package burn

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// MinutesKept is the length of each account's history, in minutes, and the longest
// window of a report.
const MinutesKept = 360

const (
	// maxAccounts bounds the number of accounts.
	maxAccounts = 8192
	// maxMinutes bounds the number of minutes over all accounts.
	maxMinutes = 1 << 18
)

// Signal is a service-level indicator: the property of requests that an objective
// sets a target for.
type Signal int

// The signals.
const (
	// FirstToken is the time to the first token of a model's answer.
	FirstToken Signal = iota
	// TokenGap is the largest time between two tokens since the stream's previous
	// progress report.
	TokenGap
	// Answer is the time to the complete answer of a plain service.
	Answer
	// Answered is whether a request got a complete answer, at any latency. Requests
	// that failed by the caller's fault do not count.
	Answered

	numSignals = 4
)

// Signals returns all signals.
func Signals() []Signal { return []Signal{FirstToken, TokenGap, Answer, Answered} }

// String returns the signal's name in reports.
func (s Signal) String() string {
	return [numSignals]string{"first token", "token gap", "answer", "answered"}[s]
}

// bound returns the longest time that the objectives allow for a signal, zero if
// they set none.
func (s Signal) bound(o config.Objectives) time.Duration {
	switch s {
	case FirstToken:
		return o.FirstToken
	case TokenGap:
		return o.TokenGap
	case Answer:
		return o.Answer
	default:
		return 0
	}
}

// set reports whether the objectives include a target for the signal.
func (s Signal) set(o config.Objectives) bool {
	return o.Target > 0 && (s == Answered || s.bound(o) > 0)
}

// Key identifies an account.
type Key struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
}

// LatencyKind is the kind of time that a sample measures.
type LatencyKind int

// The kinds of latency.
const (
	// WaitLatency is the time that a request waited for a slot.
	WaitLatency LatencyKind = iota
	// FirstByteLatency is the time to the first byte of the answer, the wait included.
	FirstByteLatency
	// TokenGapLatency is the largest time between two tokens since the stream's
	// previous progress report.
	TokenGapLatency
	// AnswerLatency is the time to the complete answer.
	AnswerLatency

	numKinds = 4
)

// String returns the kind's name in reports.
func (k LatencyKind) String() string {
	return [numKinds]string{"wait", "first token", "token gap", "whole answer"}[k]
}

// Count is how many samples an objective applied to, and how many of them missed
// it.
type Count struct {
	Total uint32 `json:"total"`
	Bad   uint32 `json:"bad"`
}

func (c *Count) add(other Count) {
	c.Total += other.Total
	c.Bad += other.Bad
}

func (c *Count) sub(other Count) {
	c.Total -= other.Total
	c.Bad -= other.Bad
}

func (c *Count) record(bad bool) {
	c.Total++
	if bad {
		c.Bad++
	}
}

// clientErrorReasons are the reasons for refusing a request that do not count
// against the objectives: the request was at fault, or the caller disconnected.
var clientErrorReasons = map[core.Reason]bool{
	core.ReasonUnknownKey: true, core.ReasonForbidden: true, core.ReasonUnknownService: true,
	core.ReasonBadRequest: true, core.ReasonTooLarge: true, core.ReasonQuarantined: true,
	core.ReasonKeyRequired: true, core.ReasonKeyReused: true, core.ReasonInProgress: true,
	core.ReasonCallerGone: true,
}
