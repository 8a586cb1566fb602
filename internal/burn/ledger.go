package burn

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
)

// Ledger holds one router's figures.
type Ledger struct {
	started  time.Time
	accounts *simplelru.LRU[Key, *series]
	services map[string]*service
	// minutes is the number of minutes of all accounts.
	minutes int
	dropped uint64
}

// service holds the totals of a service over all organisations.
type service struct {
	series
	histograms [kinds]histograms
}

// New returns an empty ledger.
func New(now time.Time) *Ledger {
	l := &Ledger{started: now, services: make(map[string]*service)}
	accounts, err := simplelru.NewLRU(accountsMost, l.evicted)
	if err != nil {
		panic(err) // only for a size under 1
	}
	l.accounts = accounts
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
	for l.minutes > minutesMost && l.accounts.Len() > 1 {
		l.accounts.RemoveOldest()
	}
}

func (l *Ledger) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}
