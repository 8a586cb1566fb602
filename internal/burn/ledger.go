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
	minutes, most int
	dropped       uint64
	// cut is the last minute that was dropped from all accounts to make room.
	cut int64
}

// service holds the totals of a service over all organisations.
type service struct {
	series
	histograms [kinds]histograms
}

// New returns an empty ledger.
func New(now time.Time) *Ledger { return newLedger(now, accountsMost, minutesMost) }

func newLedger(now time.Time, accounts, minutes int) *Ledger {
	l := &Ledger{started: now, services: make(map[string]*service), most: minutes}
	kept, err := simplelru.NewLRU(accounts, l.evicted)
	if err != nil {
		panic(err) // only for a size under 1
	}
	l.accounts = kept
	return l
}

func (l *Ledger) evicted(_ Key, s *series) {
	l.minutes -= len(s.minutes)
	l.dropped++
}

// Dropped is the number of accounts that were dropped at the bounds.
func (l *Ledger) Dropped() uint64 { return l.dropped }

// Took notes a time that was measured for a request.
func (l *Ledger) Took(now time.Time, k Key, kind Kind, d time.Duration, o config.Objectives) {
	l.service(k.Service).histograms[kind].record(now, d)
	l.each(now, k, func(m *Minute) { m.took(kind, d, o) })
}

func (m *Minute) took(kind Kind, d time.Duration, o config.Objectives) {
	switch kind {
	case Wait:
		m.Waits += float32(d.Seconds())
	case First:
		m.Firsts += float32(d.Seconds())
		m.measure(FirstToken, d, o)
	case Gap:
		m.measure(TokenGap, d, o)
	case Whole:
		m.measure(Answer, d, o)
		m.Counts[Answered].note(false)
	}
}

func (m *Minute) measure(s Signal, d time.Duration, o config.Objectives) {
	if bound := s.bound(o); bound > 0 {
		m.Counts[s].note(d > bound)
	}
}

// Retried notes a send after a request's first.
func (l *Ledger) Retried(now time.Time, k Key) {
	l.each(now, k, func(m *Minute) { m.Retried++ })
}

// Refused notes a request that got no whole answer. One that is the caller's
// own fault does not count.
func (l *Ledger) Refused(now time.Time, k Key, reason core.Reason) {
	if callersFault[reason] {
		return
	}
	l.each(now, k, func(m *Minute) {
		m.Counts[Answered].note(true)
		m.refuse(reason, 1)
	})
}

// each passes the present minutes of an account and of its service.
func (l *Ledger) each(now time.Time, k Key, note func(*Minute)) {
	total, _ := l.service(k.Service).at(now)
	note(total)
	account, ok := l.accounts.Get(k)
	if !ok {
		account = &series{}
		l.accounts.Add(k, account)
	}
	m, grown := account.at(now)
	note(m)
	l.minutes += grown
	if l.minutes > l.most {
		l.shorten(now)
	}
}

// shorten drops the oldest minutes of all accounts until there is room again for
// a while.
func (l *Ledger) shorten(now time.Time) {
	room := l.most * keptNumerator / keptDenominator
	for keep := MinutesKept; l.minutes > room && keep > 1; {
		keep = keep * keptNumerator / keptDenominator
		l.cut = now.Unix()/60 - int64(keep)
		for _, account := range l.accounts.Values() {
			l.minutes -= account.forget(l.cut)
		}
	}
}

// since is when the accounts' minutes begin.
func (l *Ledger) since() time.Time {
	if cut := time.Unix((l.cut+1)*60, 0).UTC(); cut.After(l.started) {
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
