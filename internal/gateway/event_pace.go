package gateway

import (
	"bytes"
	"time"
)

// minPacedEvents is the number of events of a stream from which on their mean pause is told: a
// single one may have been held up by anything.
const minPacedEvents = 6

// eventPace measures how fast the events of one attempt's stream arrive.
type eventPace struct {
	first, last time.Time
	events      int
}

// add counts the complete events that have arrived together.
func (p *eventPace) add(now time.Time, events []byte) {
	if p.first.IsZero() {
		p.first = now
	}
	p.last = now
	p.events += bytes.Count(events, []byte("\n\n"))
}

// meanPause returns the mean pause between events, 0 if there were too few.
func (p *eventPace) meanPause() time.Duration {
	if p.events < minPacedEvents {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.events-1)
}
