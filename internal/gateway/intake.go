package gateway

import (
	"sync"
	"time"
)

const (
	// intakeShare is the part of the processor time that may go to new requests; the
	// rest is for reports, copies of the store's keys and refusals.
	intakeShare = 0.8
	// intakeBurst is how much unused time is saved up for requests that come at once.
	// Their last one waits that long for the processor: less than the tightest latency
	// target of the users' sheets (300 ms for a chat), which the engine needs as well.
	intakeBurst = 200 * time.Millisecond
	// costFirst is the processor time that a request is taken to need before there is
	// a measurement, and costLeast and costMost bound what is learned: a day of 62
	// routers took 1.2 ms a request with everything else (trouble-1 of
	// planos-reposo-grown), and idle routers spend time on no request.
	costFirst = time.Millisecond
	costLeast = 500 * time.Microsecond
	costMost  = 2 * time.Millisecond
	// costWeight is the weight of one sample in the average, costSamples the least
	// number of requests in one, and costBusy the least part of the processor time:
	// below it the fixed costs would count as those of requests.
	costWeight  = 0.2
	costSamples = 20
	costBusy    = 0.5
	// refusalPart is what a refusal costs, as part of what a request does. With 0.05,
	// 0.9 of the cores and a cost that fell while requests were refused, 6,687 attempts
	// ran out of time on hunt-073f-3 of planos-reposo-grown for 2,529 (one trial each).
	refusalPart = 0.1
	// crowdedPart is the part of the requests that may be refused for lack of time
	// without the router leaving the rotation: callers come in clumps. A choice.
	crowdedPart = 0.1
)

// intake bounds the requests taken in by the processor time that they will need. A
// router that takes in what it has no time for answers all of them late, the first
// ones included, and knows it only when the time is spent: one of 0.192 cores took in
// 400 requests within 0.4 s and answered no one for three seconds. It is safe for
// concurrent use.
type intake struct {
	// cores is the processor time that the process may use; 0 if not bounded.
	cores float64

	mu sync.Mutex
	at time.Time
	// balance is the processor time left for new requests, below zero after refusals.
	balance time.Duration
	// cost is the processor time that a request is expected to need.
	cost time.Duration
	// taken and refused count requests since the last sample.
	taken, refused int
}

func newIntake(cores float64) *intake { return &intake{cores: cores, cost: costFirst} }

// admit reports whether there is processor time for one more request, and takes it, or
// what the refusal costs.
func (i *intake) admit(now time.Time) bool {
	if i.cores <= 0 {
		return true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.short(now) {
		return false
	}
	i.balance -= i.cost
	i.taken++
	return true
}

// exhausted reports whether there is no processor time for one more request; what its
// refusal costs is then taken.
func (i *intake) exhausted(now time.Time) bool {
	if i.cores <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.short(now)
}

// short brings the balance to now and charges a refusal if there is no time for a
// request. Refusals come first: their time is spent whether there is any or not. The
// debt is bounded, so that a crest keeps requests out no longer than it lasts and a
// burst more.
func (i *intake) short(now time.Time) bool {
	rate := intakeShare * i.cores
	room := time.Duration(rate * float64(intakeBurst))
	if i.at.IsZero() {
		i.balance = room
	} else {
		i.balance = min(room, i.balance+time.Duration(rate*float64(now.Sub(i.at))))
	}
	i.at = now
	if i.balance >= i.cost {
		return false
	}
	i.balance = max(-room, i.balance-time.Duration(refusalPart*float64(i.cost)))
	i.refused++
	return true
}

// intakeView is what the intake did since the last sample, for logs.
type intakeView struct {
	taken, refused int
	cost, balance  time.Duration
}

// view is what the intake did since the last sample.
func (i *intake) view() intakeView {
	i.mu.Lock()
	defer i.mu.Unlock()
	return intakeView{taken: i.taken, refused: i.refused, cost: i.cost, balance: i.balance}
}

// learn takes the processor time spent since the last call, and the part that this is
// of what there was. It reports whether many requests were refused meanwhile.
func (i *intake) learn(spent time.Duration, part float64) (crowded bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.taken >= costSamples && part >= costBusy {
		requests := float64(i.taken) + refusalPart*float64(i.refused)
		sample := min(costMost, max(costLeast, time.Duration(float64(spent)/requests)))
		i.cost += time.Duration(costWeight * float64(sample-i.cost))
	}
	crowded = float64(i.refused) > crowdedPart*float64(i.taken)
	i.taken, i.refused = 0, 0
	return crowded
}
