package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// admissionShare is the share of the processor time that new requests may use; the
	// rest is for reports, copies of the store's keys and refusals.
	admissionShare = 0.8
	// admissionBurst is the time over which unused budget accumulates for requests that
	// arrive at once. The last of them waits that long for the processor: less than the
	// tightest latency target of the users' data sheets (300 ms for a chat), of which
	// the engine needs a part as well.
	admissionBurst = 200 * time.Millisecond
	// initialCost is the processor time that a request is first assumed to need: that
	// of a stream of 36 events (BenchmarkStream), rounded up. minCost and maxCost bound
	// the adjusted cost: a request without events, and a stream on an instance that is
	// slowed to a fifth.
	initialCost = time.Millisecond
	minCost     = 200 * time.Microsecond
	maxCost     = 5 * time.Millisecond
	// costIncrease and costDecrease are the factors by which a sample adjusts the cost.
	// It rises faster than it falls, since an admitted request cannot be handed back.
	costIncrease = 1.5
	costDecrease = 0.7
	// costWindow is the time constant over which the processor time used tells the least
	// cost of a request. It exceeds the duration of most streams.
	costWindow = 2 * time.Second
	// refusalCost is the processor time that a refusal without an http.Server takes:
	// the half of BenchmarkRefusal that is not the caller's. refusalShare is the share
	// of the budget that refusals may use: a flood of them must not stop admission
	// altogether. unpolledRefusalCost is what one without a goroutine takes
	// (BenchmarkFlood).
	refusalCost         = 60 * time.Microsecond
	unpolledRefusalCost = 20 * time.Microsecond
	refusalShare        = 0.5
	// usageWindow is the time constant over which the usage of organisations decays:
	// over several seconds an organisation that sends in bursts would be credited for
	// its pauses. An organisation is underserved while it has used less than
	// underservedShare of what the largest user has: the users compare organisations at
	// a factor of two.
	usageWindow      = time.Second
	underservedShare = 0.5
	// floodRefusals is the number of refusals for each admitted request from which a lag
	// is taken for theirs: about what a request costs in refusals.
	floodRefusals = 20
	// offloadCostShare is the processor time that passing a connection on to a peer takes,
	// as a share of the cost of a request: the bytes are copied, but not parsed.
	// minOffloadCost is what it takes where requests are short.
	offloadCostShare = 0.2
	minOffloadCost   = 150 * time.Microsecond
	// offloadReserve is the share of a burst below which the balance is kept for
	// offloading while peers have time to spare, and below which no connections of peers
	// are admitted: a router's own callers come first.
	offloadReserve = 0.5
	// spareSmoothing is the weight of the latest sample in what a router reports to
	// have to spare.
	spareSmoothing = 0.5
	// overloadRefusedShare is the share of requests that may be refused for lack of
	// processor time before the router leaves the rotation. Callers arrive in bursts,
	// so a few refusals do not mean overload.
	overloadRefusedShare = 0.1
)

// admission is the admission control: a token bucket that bounds the requests admitted
// by the processor time that they will need. A router that admits more than that
// answers all requests late, the first ones included, and notices only when the time is
// spent. The cost of a request is found by feedback: it falls while requests are
// refused although nothing waits for the processor, and rises while goroutines wait for
// long. It is safe for concurrent use.
type admission struct {
	// cores is the processor time that the process may use, in cores; 0 if not limited.
	cores float64

	mu         sync.Mutex
	refilledAt time.Time
	// balance is the processor time left for new requests, and refusalBudget how much
	// of it refusals may still use.
	balance, refusalBudget time.Duration
	// cost is the processor time that a request is expected to need.
	cost time.Duration
	// lag is how long goroutines waited for the processor at the last sample.
	lag time.Duration
	// usedRecently is the processor time used for requests, in seconds, and
	// admittedRecently the number of requests admitted, as exponentially decaying sums
	// with the time constant costWindow.
	usedRecently, admittedRecently float64
	// admitted, refused and offloaded count requests since the last sample.
	admitted, refused, offloaded int
	// refusedBy counts the refused requests since the last sample by organisation.
	refusedBy map[string]int
	// spent is the processor time charged since the last sample for what this router's
	// own callers sent. spare is what it can spend on connections of other routers, in
	// cores, as of sampledAt.
	spent     time.Duration
	spare     float64
	sampledAt time.Time
	// usage holds the processor time recently charged to each organisation, and
	// maxUsage the largest of them.
	usage    map[string]*orgUsage
	maxUsage time.Duration
}

// orgUsage is the processor time charged for an organisation's admitted requests, as an
// exponentially decaying sum with the time constant usageWindow.
type orgUsage struct {
	used      time.Duration
	decayedAt time.Time
}

func newAdmission(cores float64) *admission {
	return &admission{cores: cores, cost: initialCost, usage: make(map[string]*orgUsage), refusedBy: make(map[string]int)}
}

// usageOf returns an organisation's usage, decayed to now. The caller holds mu.
func (a *admission) usageOf(now time.Time, org string) *orgUsage {
	u := a.usage[org]
	if u == nil {
		u = &orgUsage{decayedAt: now}
		a.usage[org] = u
	}
	if now.After(u.decayedAt) {
		u.used = time.Duration(float64(u.used) * math.Exp(-now.Sub(u.decayedAt).Seconds()/usageWindow.Seconds()))
		u.decayedAt = now
	}
	return u
}

// attribute adds an admitted request to its organisation's usage. The organisation is
// known only once the request's header has been read.
func (a *admission) attribute(now time.Time, org string) {
	if a.cores <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addUsage(a.usageOf(now, org))
}

func (a *admission) addUsage(u *orgUsage) {
	u.used += a.cost
	a.maxUsage = max(a.maxUsage, u.used)
}

// admitUnderserved admits a request that admit has refused if its organisation has used
// less than underservedShare of what the largest user has. It overdraws the balance at
// the expense of later requests; once the overdraft exceeds one burst, no further request
// is admitted in this way.
func (a *admission) admitUnderserved(now time.Time, org string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isUnderserved(now, org) {
		return false
	}
	a.addUsage(a.usageOf(now, org))
	a.spend(a.cost)
	a.admitted++
	return true
}

// isUnderserved reports whether admitUnderserved would admit a request of an organisation.
// The caller holds mu.
func (a *admission) isUnderserved(now time.Time, org string) bool {
	u := a.usageOf(now, org)
	return float64(u.used+a.cost) <= underservedShare*float64(a.maxUsage) && a.balance >= -a.burst()
}

// wouldServe reports whether a request that must be refused would be admitted for its
// organisation's sake.
func (a *admission) wouldServe(now time.Time, org string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return org != "" && a.isUnderserved(now, org)
}

// rate is the refill rate of the balance, in cores, and burst its upper bound.
func (a *admission) rate() float64        { return admissionShare * a.cores }
func (a *admission) burst() time.Duration { return time.Duration(a.rate() * float64(admissionBurst)) }

// spend charges processor time for a caller of this router. The caller holds mu.
func (a *admission) spend(d time.Duration) {
	a.balance -= d
	a.spent += d
}

// reserve is the balance that is kept for offloading. The caller holds mu.
func (a *admission) reserve() time.Duration {
	return time.Duration(offloadReserve * float64(a.burst()))
}

// admit reports whether there is processor time for one more request, and charges it. If
// the request could be offloaded, the reserve is not used for it.
func (a *admission) admit(now time.Time, canOffload bool) bool {
	if a.cores <= 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var reserve time.Duration
	if canOffload {
		reserve = a.reserve()
	}
	a.refill(now)
	if a.balance < a.cost+reserve {
		return false
	}
	a.spend(a.cost)
	a.admitted++
	return true
}

// admitLate admits a request that admit has kept out of the reserve and that could not be
// offloaded.
func (a *admission) admitLate() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.balance < a.cost {
		return false
	}
	a.spend(a.cost)
	a.admitted++
	return true
}

// admitOffloaded reports whether there is processor time for a request that another router
// offloads to this one, and charges it.
func (a *admission) admitOffloaded(now time.Time) bool {
	if a.cores <= 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	if a.balance < a.cost+a.reserve() {
		return false
	}
	a.balance -= a.cost
	a.admitted++
	return true
}

// chargeOffload reports whether there is processor time to offload a connection that admit
// has not admitted, and charges it. The connection is charged as it is accepted, like one
// that is admitted, since many may be accepted before the first of them is read.
func (a *admission) chargeOffload() (charged time.Duration, ok bool) {
	if a.cores <= 0 {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	cost := a.offloadCost()
	if a.balance < cost {
		return 0, false
	}
	a.spend(cost)
	a.offloaded++
	return cost, true
}

// refundOffload takes back a charge for a connection that was not offloaded.
func (a *admission) refundOffload(charged time.Duration) {
	if charged <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spend(-charged)
	a.offloaded = max(0, a.offloaded-1)
}

// requestCost is the processor time that a request is expected to need.
func (a *admission) requestCost() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cost
}

// spareCores is the processor time that can be spent on connections of other routers, in
// cores.
func (a *admission) spareCores() float64 {
	if a.cores <= 0 {
		return unlimitedSpare
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spare
}

// measureSpare measures what can be spent on connections of other routers from what this
// router's own callers have used since the last sample. The caller holds mu.
func (a *admission) measureSpare(now time.Time, lag time.Duration) {
	elapsed := now.Sub(a.sampledAt)
	if !a.sampledAt.IsZero() && elapsed > 0 {
		unused := max(0, a.rate()-a.spent.Seconds()/elapsed.Seconds())
		a.spare += spareSmoothing * (unused - a.spare)
		if lag >= lagLow {
			// The processor is slower, or used for more, than what was charged shows.
			a.spare = 0
		}
	}
	a.sampledAt, a.spent = now, 0
}

// refill adds what the budgets have gained up to now. The caller holds mu.
func (a *admission) refill(now time.Time) {
	burst := a.burst()
	refilled := burst
	if !a.refilledAt.IsZero() {
		refilled = min(burst, time.Duration(a.rate()*float64(now.Sub(a.refilledAt))))
	}
	a.refilledAt = now
	a.balance = min(burst, a.balance+refilled)
	a.refusalBudget = min(burst, a.refusalBudget+time.Duration(refusalShare*float64(refilled)))
}

// chargeRefusal counts and charges a refusal. The caller holds mu.
func (a *admission) chargeRefusal(cost time.Duration) {
	a.refused++
	spent := min(cost, a.refusalBudget)
	a.spend(spent)
	a.refusalBudget -= spent
}

// offloadCost is the processor time that offloading a connection is expected to need. The
// caller holds mu.
func (a *admission) offloadCost() time.Duration {
	return max(minOffloadCost, time.Duration(offloadCostShare*float64(a.cost)))
}

// mustRefuse reports whether the budget pays neither for a request nor, if peers have time
// to spare, for offloading one.
func (a *admission) mustRefuse(now time.Time, canOffload bool) bool {
	if a.cores <= 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	if canOffload {
		return a.balance < a.offloadCost()
	}
	return a.balance < a.cost
}

// recordRefusal counts and charges a refusal with a goroutine.
func (a *admission) recordRefusal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chargeRefusal(refusalCost)
}

// recordUnpolledRefusal counts and charges a refusal by refuseUnpolled.
func (a *admission) recordUnpolledRefusal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chargeRefusal(unpolledRefusalCost)
}

// countRefusal counts a refused request for the logs. The organisation is empty if it is
// not known.
func (a *admission) countRefusal(org string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusedBy[org]++
}

// admissionStats is the state of the admission control since the last sample, for logs.
type admissionStats struct {
	admitted, refused, offloaded int
	cost, balance                time.Duration
	// spare is in cores.
	spare float64
	// mostRefused is the organisation with most of the refused requests, and
	// mostRefusedCount their number.
	mostRefused      string
	mostRefusedCount int
}

// stats returns the counts since the last sample, the cost and the balance.
func (a *admission) stats() admissionStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	stats := admissionStats{
		admitted: a.admitted, refused: a.refused, offloaded: a.offloaded, cost: a.cost, balance: a.balance, spare: a.spare,
	}
	for org, n := range a.refusedBy {
		if n > stats.mostRefusedCount || n == stats.mostRefusedCount && org < stats.mostRefused {
			stats.mostRefused, stats.mostRefusedCount = org, n
		}
	}
	return stats
}

// adjustCost adjusts the cost to how long goroutines waited for the processor since the
// last call, and to the processor time used since then. It reports whether the router is
// overloaded: many requests were refused meanwhile, and the lag confirms the shortage.
func (a *admission) adjustCost(now time.Time, lag, used time.Duration) (overloaded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	floor := a.measureCost(now, used)
	a.measureSpare(now, lag)
	growing := lag >= a.lag
	a.lag = lag
	switch {
	case lag >= lagHigh && !growing:
		// The backlog of requests admitted before is still being worked off.
	case lag >= lagHigh && a.cost >= initialCost && float64(a.refused) > floodRefusals*float64(a.admitted):
		// What runs are refusals, not requests.
	case lag >= lagHigh:
		a.cost = min(maxCost, time.Duration(costIncrease*float64(a.cost)))
	case lag < lagLow && a.refused+a.offloaded > 0:
		a.cost = max(minCost, min(a.cost, floor), time.Duration(costDecrease*float64(a.cost)))
	case lag < lagLow && a.cost > initialCost:
		// The shortage is over: lower the cost without having to refuse callers first.
		a.cost = max(initialCost, time.Duration(costDecrease*float64(a.cost)))
	}
	overloaded = lag >= lagLow && float64(a.refused) > overloadRefusedShare*float64(a.admitted)
	a.admitted, a.refused, a.offloaded = 0, 0, 0
	clear(a.refusedBy)
	a.dropIdleOrganisations()
	return overloaded
}

// measureCost returns what a request has taken recently by the processor time used, at most
// initialCost: a stream needs most of its time after its admission, so nothing may wait yet
// although too many have been admitted. The caller holds mu.
func (a *admission) measureCost(now time.Time, used time.Duration) time.Duration {
	if elapsed := now.Sub(a.sampledAt); !a.sampledAt.IsZero() && elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / costWindow.Seconds())
		shedding := time.Duration(a.refused)*unpolledRefusalCost + time.Duration(a.offloaded)*minOffloadCost
		a.usedRecently = decay*a.usedRecently + max(0, (used-shedding).Seconds())
		a.admittedRecently = decay*a.admittedRecently + float64(a.admitted)
	}
	if a.admittedRecently < 1 {
		return initialCost
	}
	return min(initialCost, time.Duration(a.usedRecently/a.admittedRecently*float64(time.Second)))
}

// dropIdleOrganisations drops organisations whose usage has decayed to almost nothing,
// and recomputes maxUsage. The caller holds mu.
func (a *admission) dropIdleOrganisations() {
	a.maxUsage = 0
	for org, u := range a.usage {
		if a.usageOf(a.refilledAt, org); u.used < minCost/10 {
			delete(a.usage, org)
		}
		a.maxUsage = max(a.maxUsage, u.used)
	}
}
