package burn

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// keptNumerator over keptDenominator is the part of the minutes, and of their
// ages, that is kept at the bound.
const (
	keptNumerator   = 3
	keptDenominator = 4
)

// Ledger holds one router's figures.
type Ledger struct {
	started  time.Time
	accounts *simplelru.LRU[Key, *series]
	services map[string]*service
	// minutes is the number of minutes of all accounts, at most most.
	minutes, maxMinutes int
	dropped             uint64
	// droppedUpTo is the last minute that was dropped from all accounts to make room.
	droppedUpTo int64
}

// service holds the totals of a service over all organisations.
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
		panic(err) // only for a size under 1
	}
	l.accounts = lru
	return l
}

func (l *Ledger) onEvict(_ Key, s *series) {
	l.minutes -= len(s.minutes)
	l.dropped++
}

// Dropped is the number of accounts that were dropped at the bounds.
func (l *Ledger) Dropped() uint64 { return l.dropped }

// Took notes a time that was measured for a request.
func (l *Ledger) Took(now time.Time, k Key, kind LatencyKind, d time.Duration, o config.Objectives) {
	l.service(k.Service).histograms[kind].record(now, d)
	l.updateMinutes(now, k, func(m *Minute) { m.recordLatency(kind, d, o) })
}

func (m *Minute) recordLatency(kind LatencyKind, d time.Duration, o config.Objectives) {
	switch kind {
	case Wait:
		m.WaitSeconds += float32(d.Seconds())
	case First:
		m.FirstByteSeconds += float32(d.Seconds())
		m.recordAgainstBound(FirstToken, d, o)
	case Gap:
		m.recordAgainstBound(TokenGap, d, o)
	case Whole:
		m.recordAgainstBound(Answer, d, o)
		m.Counts[Answered].record(false)
	}
}

func (m *Minute) recordAgainstBound(s Signal, d time.Duration, o config.Objectives) {
	if bound := s.bound(o); bound > 0 {
		m.Counts[s].record(d > bound)
	}
}

// Retried notes a send after a request's first.
func (l *Ledger) Retried(now time.Time, k Key) {
	l.updateMinutes(now, k, func(m *Minute) { m.Retried++ })
}

// Refused notes a request that got no whole answer. One that is the caller's
// own fault does not count.
func (l *Ledger) Refused(now time.Time, k Key, reason core.Reason) {
	if clientErrorReasons[reason] {
		return
	}
	l.updateMinutes(now, k, func(m *Minute) {
		m.Counts[Answered].record(true)
		m.addRefusals(reason, 1)
	})
}

// updateMinutes passes the present minutes of an account and of its service.
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

// dropOldMinutes drops the oldest minutes of all accounts until there is room again for
// a while.
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

// accountsSince is when the accounts' minutes begin.
func (l *Ledger) accountsSince() time.Time {
	if cut := time.Unix((l.droppedUpTo+1)*60, 0).UTC(); cut.After(l.started) {
		return cut
	}
	return l.started
}

func (l *Ledger) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}
