package burn

import (
	"maps"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Minute is what happened in one minute.
type Minute struct {
	// At counts minutes since 1970.
	At     int64             `json:"at"`
	Counts [numSignals]Count `json:"counts"`
	// WaitSeconds and Firsts are sums over requests, in seconds: the wait for a slot,
	// and the time to the first byte with that wait in it.
	WaitSeconds      float32 `json:"waits,omitempty"`
	FirstByteSeconds float32 `json:"firsts,omitempty"`
	// Retried is the number of sends after a request's first.
	Retried uint32 `json:"retried,omitempty"`
	// Refused counts refusals and broken answers by reason.
	Refused map[core.Reason]uint32 `json:"refused,omitempty"`
}

// Cause is what made most requests of a minute miss their objectives.
type Cause string

// The causes; a refusal is named by its reason after CauseRefused.
const (
	CauseWaiting Cause = "waiting"
	CauseSlow    Cause = "slow upstream"
	CauseRetried Cause = "retried"
	CauseRefused Cause = "refused: "
)

// Start is when the minute began.
func (m *Minute) Start() time.Time { return time.Unix(m.At*60, 0).UTC() }

// Bad is the number of misses, over all signals.
func (m *Minute) Bad() uint32 {
	var bad uint32
	for _, c := range m.Counts {
		bad += c.Bad
	}
	return bad
}

// Cause says what most of the misses are due to: refusals if they are most of
// them, then retries if there was one for every other late answer, then waiting
// if it was half of the time to the first byte or more.
func (m *Minute) Cause() Cause {
	late := m.Counts[FirstToken].Bad + m.Counts[Answer].Bad
	gaps := m.Counts[TokenGap].Bad
	switch {
	case m.Counts[Answered].Bad >= late+gaps:
		return CauseRefused + Cause(m.topReason())
	case gaps > late:
		return CauseSlow
	case 2*m.Retried >= late:
		return CauseRetried
	case 2*m.WaitSeconds >= m.FirstByteSeconds:
		return CauseWaiting
	default:
		return CauseSlow
	}
}

// topReason is the most frequent reason of refusals.
func (m *Minute) topReason() core.Reason {
	var top core.Reason
	for _, reason := range slices.Sorted(maps.Keys(m.Refused)) {
		if top == "" || m.Refused[reason] > m.Refused[top] {
			top = reason
		}
	}
	return top
}

// add sums another router's minute into this one.
func (m *Minute) add(other *Minute) {
	for i := range m.Counts {
		m.Counts[i].add(other.Counts[i])
	}
	m.WaitSeconds += other.WaitSeconds
	m.FirstByteSeconds += other.FirstByteSeconds
	m.Retried += other.Retried
	for reason, n := range other.Refused {
		m.addRefusals(reason, n)
	}
}

func (m *Minute) addRefusals(reason core.Reason, n uint32) {
	if m.Refused == nil {
		m.Refused = make(map[core.Reason]uint32)
	}
	m.Refused[reason] += n
}

// clone is a copy that shares nothing.
func (m *Minute) clone() Minute {
	out := *m
	out.Refused = maps.Clone(m.Refused)
	return out
}

// series holds the latest minutes that saw a request, oldest first.
type series struct{ minutes []Minute }

// minuteAt returns the minute of a time, and how many minutes the series grew by,
// which is negative if more old ones fell out.
func (s *series) minuteAt(now time.Time) (*Minute, int) {
	at := now.Unix() / 60
	if n := len(s.minutes); n > 0 && s.minutes[n-1].At >= at {
		// A clock that was set back adds to the latest minute.
		return &s.minutes[n-1], 0
	}
	dropped := s.dropUpTo(lastExpiredMinute(now))
	s.minutes = append(s.minutes, Minute{At: at})
	return &s.minutes[len(s.minutes)-1], 1 - dropped
}

// dropUpTo drops the minutes up to one, and returns how many there were.
func (s *series) dropUpTo(upTo int64) int {
	expired := 0
	for expired < len(s.minutes) && s.minutes[expired].At <= upTo {
		expired++
	}
	if expired > 0 {
		s.minutes = append(s.minutes[:0], s.minutes[expired:]...)
	}
	return expired
}
