// Package burn keeps the figures behind the report on service-level burn: how
// many requests met their objectives, by service, organisation and minute.
//
// A router keeps a Ledger and answers a Question with a Document; a Merger makes
// one Report of the documents of many routers. The package is pure: times come
// in with the calls, and nothing here is safe for concurrent use.
//
// Memory is bounded. Minutes without a request take none. A ledger keeps at most
// MinutesKept minutes of each pair of organisation and service, at most
// accountsMost pairs, and at most minutesMost minutes in all, which is under
// 40 MB; histograms add half a megabyte for each service. Beyond the number of
// minutes the oldest of all pairs are dropped, so that long windows of
// organisations count less than they say; the report tells since when they are
// whole. Beyond the number of pairs the one used least recently is dropped with
// its history; the report says how many were. The totals of services are never
// shortened.
package burn

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// MinutesKept is the length of each account's history, in minutes; it is the
// longest window of a report.
const MinutesKept = 360

const (
	// maxAccounts bounds the pairs of organisation and service.
	maxAccounts = 8192
	// maxMinutes bounds the minutes of all accounts.
	maxMinutes = 1 << 18
)

// Signal is what an objective is about.
type Signal int

// The signals.
const (
	// FirstToken is the time to the first token of a model's answer.
	FirstToken Signal = iota
	// TokenGap is the largest time between tokens in a report period.
	TokenGap
	// Answer is the time to a whole plain answer.
	Answer
	// Answered is whether a request got its whole answer at all. What the caller
	// did wrong does not count.
	Answered

	numSignals = 4
)

// Signals are all signals.
func Signals() []Signal { return []Signal{FirstToken, TokenGap, Answer, Answered} }

// String is the signal's name in reports.
func (s Signal) String() string {
	return [numSignals]string{"first token", "token gap", "answer", "answered"}[s]
}

// bound is the objective's bound on a signal, zero if there is none.
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

// set reports whether the objectives say something about a signal.
func (s Signal) set(o config.Objectives) bool {
	return o.Target > 0 && (s == Answered || s.bound(o) > 0)
}

// Key names an account.
type Key struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
}

// LatencyKind is what a sample measured.
type LatencyKind int

// The kinds of sample.
const (
	Wait LatencyKind = iota
	First
	Gap
	Whole

	numKinds = 4
)

// String is the kind's name in reports.
func (k LatencyKind) String() string {
	return [numKinds]string{"wait", "first token", "token gap", "whole answer"}[k]
}

// Count is how many requests an objective spoke of, and how many missed it.
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

// clientErrorReasons are the reasons for which a refusal does not count against the
// objectives: the caller asked for what it may not have, or has gone.
var clientErrorReasons = map[core.Reason]bool{
	core.ReasonUnknownKey: true, core.ReasonForbidden: true, core.ReasonUnknownService: true,
	core.ReasonBadRequest: true, core.ReasonTooLarge: true, core.ReasonPoison: true,
	core.ReasonKeyRequired: true, core.ReasonKeyReused: true, core.ReasonInProgress: true,
	core.ReasonCallerGone: true,
}
