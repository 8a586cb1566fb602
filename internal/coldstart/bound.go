package coldstart

import (
	"math"
	"time"
)

const (
	// second is the span in which the operators count the requests at a cold upstream.
	second = time.Second
	// MaxDelay is how much later than another request one may arrive that was sent at the
	// same time: connecting to a busy upstream takes this long. The bound holds for
	// requests that are delayed by less.
	MaxDelay = 250 * time.Millisecond
	// reserve is the fraction of the bound that is left for requests that have to go to a
	// cold upstream without being due, and for routers whose views of the fleet differ.
	reserve = 0.25
)

// Bound is what an upstream tolerates while it is cold.
type Bound struct {
	// Duration is how long it stays cold after a start.
	Duration time.Duration
	// PerSecond is the number of requests that it tolerates in a second in the long run,
	// and Most the number in any one second.
	PerSecond, Most float64
}

// Division is a division of the bound: Senders routers send to the upstream, and each waits
// for Interval between two requests. Senders is 0 if the bound admits no request.
type Division struct {
	Senders  int
	Interval time.Duration
}

// Divide divides the bound between a number of routers. In any second, with delays of up
// to MaxDelay, no more than Most requests arrive even if all senders send at once, and no
// more than PerSecond in the long run.
func (b Bound) Divide(routers int) Division {
	most := math.Floor(b.Most * (1 - reserve))
	if most < 1 {
		most = math.Floor(b.Most)
	}
	if most < 1 || b.PerSecond <= 0 {
		return Division{}
	}
	span := (second + MaxDelay).Seconds()
	senders := min(max(1, routers), max(1, int(b.PerSecond*span)), int(most))
	// Each sender's requests in a second: one more than intervals fit into the span.
	each := math.Floor(most / float64(senders))
	interval := max(float64(senders)/b.PerSecond, span/each*(1+1e-9))
	return Division{Senders: senders, Interval: time.Duration(math.Ceil(interval * float64(time.Second)))}
}
