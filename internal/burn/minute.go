package burn

import (
	"maps"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Minute aggregates the requests of one minute.
type Minute struct {
	// At is the minute, counted since the Unix epoch.
	At     int64             `json:"at"`
	Counts [numSignals]Count `json:"counts"`
	// WaitSeconds and FirstByteSeconds are sums over requests: of the wait for a
	// slot, and of the time to the first byte, which includes that wait.
	WaitSeconds      float32 `json:"waits,omitempty"`
	FirstByteSeconds float32 `json:"firsts,omitempty"`
	// Retried is the number of attempts after the first of each request.
	Retried uint32 `json:"retried,omitempty"`
	// Refused counts refused requests and aborted answers, by reason.
	Refused map[core.Reason]uint32 `json:"refused,omitempty"`
}

// Cause is the main cause of the missed objectives of a minute.
type Cause string

// The causes. CauseRefused is a prefix; the reason of the refusal follows it.
const (
	CauseWaiting Cause = "waiting"
	CauseSlow    Cause = "slow upstream"
	CauseRetried Cause = "retried"
	CauseRefused Cause = "refused: "
)

// Start returns when the minute began.
func (m *Minute) Start() time.Time { return time.Unix(m.At*60, 0).UTC() }

// Bad returns the number of misses over all signals.
func (m *Minute) Bad() uint32 {
	var bad uint32
	for _, c := range m.Counts {
		bad += c.Bad
	}
	return bad
}

// Cause returns the main cause of the minute's misses. It is a refusal if at least
// as many requests were refused as were late. Otherwise it is a slow upstream if
// most late samples are token gaps, retries if there was at least one for every two
// late answers, waiting if it was at least half of the time to the first byte, and
// else a slow upstream.
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

// topReason returns the most frequent reason of refusals.
func (m *Minute) topReason() core.Reason {
	var top core.Reason
	for _, reason := range slices.Sorted(maps.Keys(m.Refused)) {
		if top == "" || m.Refused[reason] > m.Refused[top] {
			top = reason
		}
	}
	return top
}

// add adds the counts of the same minute from another router.
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

// clone returns a deep copy.
func (m *Minute) clone() Minute {
	out := *m
	out.Refused = maps.Clone(m.Refused)
	return out
}

// series holds the latest minutes that had a request, oldest first.
type series struct{ minutes []Minute }

// minuteAt returns the minute that now falls in, adding it if it is new, and by how
// many minutes the series grew. The growth is negative if more than one expired
// minute was dropped.
func (s *series) minuteAt(now time.Time) (*Minute, int) {
	at := now.Unix() / 60
	if n := len(s.minutes); n > 0 && s.minutes[n-1].At >= at {
		// After the clock is set back, samples go to the latest minute.
		return &s.minutes[n-1], 0
	}
	dropped := s.dropUpTo(lastExpiredMinute(now))
	s.minutes = append(s.minutes, Minute{At: at})
	return &s.minutes[len(s.minutes)-1], 1 - dropped
}

// dropUpTo drops the minutes up to and including upTo, and returns how many it
// dropped.
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
