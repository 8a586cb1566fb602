package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// admissionShare is the part of the processor time that may go to new requests; the
	// rest is for reports, copies of the store's keys and refusals.
	admissionShare = 0.8
	// admissionBurst is how much unused time is saved up for requests that come at once.
	// Their last one waits that long for the processor: less than the tightest latency
	// target of the users' sheets (300 ms for a chat), which the engine needs as well.
	admissionBurst = 200 * time.Millisecond
	// initialCost is the processor time that a request is first taken to need: that of a
	// stream of 36 events (BenchmarkStream), rounded up. costLeast and costMost bound
	// what it becomes: a request without events, and a stream on an instance that is
	// slowed to a fifth.
	initialCost = time.Millisecond
	minCost     = 200 * time.Microsecond
	maxCost     = 5 * time.Millisecond
	// costIncrease and costFall are the steps with each sample. It rises faster than it
	// falls, since what is taken in cannot be given back. Both are choices.
	costIncrease = 1.5
	costDecrease = 0.7
	// refusalCost is the processor time that a refusal without a server takes: the half
	// of BenchmarkRefusal that is not the caller's. refusalShare is the part of the
	// budget that refusals may take: a flood of them must not end the intake.
	refusalCost  = 60 * time.Microsecond
	refusalShare = 0.5
	// usageWindow is the time over which the parts of organisations are judged: over
	// several seconds one that sends in bursts would be owed for its pauses. owedPart is
	// the part of what another organisation has had up to which one is owed time: the
	// users compare organisations at a factor of two.
	usageWindow      = time.Second
	underservedShare = 0.5
	// overloadRefusedShare is the part of the requests that may be refused for lack of time
	// without the router leaving the rotation: callers come in clumps. A choice.
	overloadRefusedShare = 0.1
)

// admission bounds the requests taken in by the processor time that they will need. A
// router that takes in what it has no time for answers all of them late, the first
// ones included, and knows it only when the time is spent. What a request needs is
// found by feedback: less than was assumed while requests are refused and nothing waits
// for the processor, more while much waits. It is safe for concurrent use.
type admission struct {
	// cores is the processor time that the process may use; 0 if not bounded.
	cores float64

	mu         sync.Mutex
	refilledAt time.Time
	// balance is the processor time left for new requests, and forRefusals how much of
	// it refusals may still take.
	balance, refusalBudget time.Duration
	// cost is the processor time that a request is expected to need.
	cost time.Duration
	// lag is how long goroutines waited for the processor at the last sample.
	lag time.Duration
	// admitted and refused count requests since the last sample.
	admitted, refused int
	// usage are the processor time that organisations have had of late, and most is the
	// largest of them.
	usage    map[string]*orgUsage
	maxUsage time.Duration
}

// orgUsage is the processor time that an organisation's requests were admitted with, as an
// exponentially decaying sum over partWindow.
type orgUsage struct {
	used      time.Duration
	decayedAt time.Time
}

func newAdmission(cores float64) *admission {
	return &admission{cores: cores, cost: initialCost, usage: make(map[string]*orgUsage)}
}

// usageOf brings an organisation's part to now.
func (a *admission) usageOf(now time.Time, org string) *orgUsage {
	p := a.usage[org]
	if p == nil {
		p = &orgUsage{decayedAt: now}
		a.usage[org] = p
	}
	if now.After(p.decayedAt) {
		p.used = time.Duration(float64(p.used) * math.Exp(-now.Sub(p.decayedAt).Seconds()/usageWindow.Seconds()))
		p.decayedAt = now
	}
	return p
}

// attribute counts an admitted request for its organisation, which is known only once its
// header has been read.
func (a *admission) attribute(now time.Time, org string) {
	if a.cores <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addUsage(a.usageOf(now, org))
}

func (a *admission) addUsage(p *orgUsage) {
	p.used += a.cost
	a.maxUsage = max(a.maxUsage, p.used)
}

// admitUnderserved admits a request that admit has refused if its organisation has had less
// than owedPart of what another one has. The processor time that it takes beforehand is
// missing for the others later; it is bounded as what can be saved up is.
func (a *admission) admitUnderserved(now time.Time, org string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.usageOf(now, org)
	if float64(p.used+a.cost) > underservedShare*float64(a.maxUsage) || a.balance < -a.burst() {
		return false
	}
	a.addUsage(p)
	a.balance -= a.cost
	a.admitted++
	a.refused--
	return true
}

// rate is the part of the cores that requests may use, and room how much of it is saved
// up at most.
func (a *admission) rate() float64        { return admissionShare * a.cores }
func (a *admission) burst() time.Duration { return time.Duration(a.rate() * float64(admissionBurst)) }

// admit reports whether there is processor time for one more request, and takes it.
func (a *admission) admit(now time.Time) bool {
	if a.cores <= 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.exhausted(now) {
		return false
	}
	a.balance -= a.cost
	a.admitted++
	return true
}

// exhausted brings the balance to now, and takes what a refusal costs if there is no time
// for a request.
func (a *admission) exhausted(now time.Time) bool {
	burst := a.burst()
	refilled := burst
	if !a.refilledAt.IsZero() {
		refilled = min(burst, time.Duration(a.rate()*float64(now.Sub(a.refilledAt))))
	}
	a.refilledAt = now
	a.balance = min(burst, a.balance+refilled)
	a.refusalBudget = min(burst, a.refusalBudget+time.Duration(refusalShare*float64(refilled)))
	if a.balance >= a.cost {
		return false
	}
	a.refused++
	spent := min(refusalCost, a.refusalBudget)
	a.balance -= spent
	a.refusalBudget -= spent
	return true
}

// admissionStats is what the intake did since the last sample, for logs.
type admissionStats struct {
	admitted, refused int
	cost, balance     time.Duration
}

// stats is what the intake did since the last sample.
func (a *admission) stats() admissionStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return admissionStats{admitted: a.admitted, refused: a.refused, cost: a.cost, balance: a.balance}
}

// adjustCost takes how long goroutines waited for the processor since the last call. It
// reports whether many requests were refused meanwhile for a lack that shows.
func (a *admission) adjustCost(lag time.Duration) (overloaded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	growing := lag >= a.lag
	a.lag = lag
	switch {
	case lag >= lagHigh && !growing:
		// What was taken in before is still being worked off.
	case lag >= lagHigh:
		a.cost = min(maxCost, time.Duration(costIncrease*float64(a.cost)))
	case lag < lagLow && a.refused > 0:
		a.cost = max(minCost, time.Duration(costDecrease*float64(a.cost)))
	case lag < lagLow && a.cost > initialCost:
		// The lack is over: the next callers need not be refused to find that out.
		a.cost = max(initialCost, time.Duration(costDecrease*float64(a.cost)))
	}
	overloaded = lag >= lagLow && float64(a.refused) > overloadRefusedShare*float64(a.admitted)
	a.admitted, a.refused = 0, 0
	a.dropIdleOrganisations()
	return overloaded
}

// dropIdleOrganisations drops the organisations that have had next to nothing of late.
func (a *admission) dropIdleOrganisations() {
	a.maxUsage = 0
	for org, p := range a.usage {
		if a.usageOf(a.refilledAt, org); p.used < minCost/10 {
			delete(a.usage, org)
		}
		a.maxUsage = max(a.maxUsage, p.used)
	}
}
