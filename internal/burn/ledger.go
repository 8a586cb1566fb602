package burn

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// keptNumerator over keptDenominator is the part of maxMinutes that may be left
// after minutes are dropped, and the factor by which the maximum age is reduced in
// each step until they are.
const (
	keptNumerator   = 3
	keptDenominator = 4
)

// Ledger counts one router's requests.
type Ledger struct {
	started  time.Time
	accounts *simplelru.LRU[Key, *series]
	services map[string]*service
	// minutes is the number of minutes over all accounts, at most maxMinutes.
	minutes, maxMinutes int
	dropped             uint64
	// droppedUpTo is the latest minute that was dropped from all accounts to bound
	// memory.
	droppedUpTo int64
}

// service holds the counts and latencies of a service over all organisations.
type service struct {
	series
	histograms [numKinds]rollingHistogram
}

// New returns an empty ledger.
func New(now time.Time) *Ledger { return newLedger(now, maxAccounts, maxMinutes) }

func newLedger(now time.Time, accounts, minutes int) *Ledger {
	l := &Ledger{started: now, services: make(map[string]*service), maxMinutes: minutes}
	lru, err := simplelru.NewLRU(accounts, l.onEvict)
	if err != nil {
		panic(err) // only possible for a size under 1
	}
	l.accounts = lru
	return l
}

// onEvict accounts for an account that the LRU has evicted.
func (l *Ledger) onEvict(_ Key, s *series) {
	l.minutes -= len(s.minutes)
	l.dropped++
}

// DroppedAccounts returns the number of accounts that were dropped to bound memory.
func (l *Ledger) DroppedAccounts() uint64 { return l.dropped }

// RecordLatency records a latency of a request, and for each objective on it whether the
// request met it.
func (l *Ledger) RecordLatency(now time.Time, k Key, kind LatencyKind, d time.Duration, o config.Objectives) {
	l.service(k.Service).histograms[kind].record(now, d)
	l.updateMinutes(now, k, func(m *Minute) { m.recordLatency(kind, d, o) })
}

// recordLatency adds a latency to the sums and counts it for each signal that it
// decides. A complete answer also counts as answered.
func (m *Minute) recordLatency(kind LatencyKind, d time.Duration, o config.Objectives) {
	switch kind {
	case WaitLatency:
		m.WaitSeconds += float32(d.Seconds())
	case FirstByteLatency:
		m.FirstByteSeconds += float32(d.Seconds())
		m.recordAgainstBound(FirstToken, d, o)
	case TokenGapLatency:
		m.recordAgainstBound(TokenGap, d, o)
	case AnswerLatency:
		m.recordAgainstBound(Answer, d, o)
		m.Counts[Answered].record(false)
	}
}

// recordAgainstBound counts whether a time meets the bound of a signal, if the
// objectives set one.
func (m *Minute) recordAgainstBound(s Signal, d time.Duration, o config.Objectives) {
	if bound := s.bound(o); bound > 0 {
		m.Counts[s].record(d > bound)
	}
}

// RecordRetry records an attempt after the first of a request.
func (l *Ledger) RecordRetry(now time.Time, k Key) {
	l.updateMinutes(now, k, func(m *Minute) { m.Retried++ })
}

// RecordRefusal records a request that got no complete answer, unless the reason is the
// caller's fault.
func (l *Ledger) RecordRefusal(now time.Time, k Key, reason core.Reason) {
	if clientErrorReasons[reason] {
		return
	}
	l.updateMinutes(now, k, func(m *Minute) {
		m.Counts[Answered].record(true)
		m.addRefusals(reason, 1)
	})
}

// updateMinutes calls update with the current minute of the service and of the
// account.
func (l *Ledger) updateMinutes(now time.Time, k Key, update func(*Minute)) {
	total, _ := l.service(k.Service).minuteAt(now)
	update(total)
	account, ok := l.accounts.Get(k)
	if !ok {
		account = &series{}
		l.accounts.Add(k, account)
	}
	m, grown := account.minuteAt(now)
	update(m)
	l.minutes += grown
	if l.minutes > l.maxMinutes {
		l.dropOldMinutes(now)
	}
}

// dropOldMinutes lowers the maximum age of minutes in all accounts until their
// number is at keptNumerator/keptDenominator of maxMinutes or below, so that it
// does not have to run again at once.
func (l *Ledger) dropOldMinutes(now time.Time) {
	target := l.maxMinutes * keptNumerator / keptDenominator
	for keepMinutes := MinutesKept; l.minutes > target && keepMinutes > 1; {
		keepMinutes = keepMinutes * keptNumerator / keptDenominator
		l.droppedUpTo = now.Unix()/60 - int64(keepMinutes)
		for _, account := range l.accounts.Values() {
			l.minutes -= account.dropUpTo(l.droppedUpTo)
		}
	}
}

// accountsSince returns the time from which on no minute of an account was dropped
// to bound memory.
func (l *Ledger) accountsSince() time.Time {
	if cut := time.Unix((l.droppedUpTo+1)*60, 0).UTC(); cut.After(l.started) {
		return cut
	}
	return l.started
}

// service returns the counts of a service, creating them if there are none.
func (l *Ledger) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}
