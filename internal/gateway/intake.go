package gateway

import (
	"math"
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
	// costFirst is the processor time that a request is first taken to need: that of a
	// stream of 36 events (BenchmarkStream), rounded up. costLeast and costMost bound
	// what it becomes: a request without events, and a stream on an instance that is
	// slowed to a fifth.
	costFirst = time.Millisecond
	costLeast = 200 * time.Microsecond
	costMost  = 5 * time.Millisecond
	// costRise and costFall are the steps with each sample. It rises faster than it
	// falls, since what is taken in cannot be given back. Both are choices.
	costRise = 1.5
	costFall = 0.7
	// refusalCost is the processor time that a refusal without a server takes: the half
	// of BenchmarkRefusal that is not the caller's. refusalShare is the part of the
	// budget that refusals may take: a flood of them must not end the intake.
	refusalCost  = 60 * time.Microsecond
	refusalShare = 0.5
	// partWindow is the time over which the parts of organisations are judged: over
	// several seconds one that sends in bursts would be owed for its pauses. owedPart is
	// the part of what another organisation has had up to which one is owed time: the
	// users compare organisations at a factor of two.
	partWindow = time.Second
	owedPart   = 0.5
	// crowdedPart is the part of the requests that may be refused for lack of time
	// without the router leaving the rotation: callers come in clumps. A choice.
	crowdedPart = 0.1
)

// intake bounds the requests taken in by the processor time that they will need. A
// router that takes in what it has no time for answers all of them late, the first
// ones included, and knows it only when the time is spent. What a request needs is
// found by feedback: less than was assumed while requests are refused and nothing waits
// for the processor, more while much waits. It is safe for concurrent use.
type intake struct {
	// cores is the processor time that the process may use; 0 if not bounded.
	cores float64

	mu sync.Mutex
	at time.Time
	// balance is the processor time left for new requests, and forRefusals how much of
	// it refusals may still take.
	balance, forRefusals time.Duration
	// cost is the processor time that a request is expected to need.
	cost time.Duration
	// lag is how long goroutines waited for the processor at the last sample.
	lag time.Duration
	// taken and refused count requests since the last sample.
	taken, refused int
	// parts are the processor time that organisations have had of late, and most is the
	// largest of them.
	parts map[string]*part
	most  time.Duration
}

// part is the processor time that an organisation's requests were admitted with, as an
// exponentially decaying sum over partWindow.
type part struct {
	had time.Duration
	at  time.Time
}

func newIntake(cores float64) *intake {
	return &intake{cores: cores, cost: costFirst, parts: make(map[string]*part)}
}

// partOf brings an organisation's part to now.
func (i *intake) partOf(now time.Time, org string) *part {
	p := i.parts[org]
	if p == nil {
		p = &part{at: now}
		i.parts[org] = p
	}
	if now.After(p.at) {
		p.had = time.Duration(float64(p.had) * math.Exp(-now.Sub(p.at).Seconds()/partWindow.Seconds()))
		p.at = now
	}
	return p
}

// note counts an admitted request for its organisation, which is known only once its
// header has been read.
func (i *intake) note(now time.Time, org string) {
	if i.cores <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count(i.partOf(now, org))
}

func (i *intake) count(p *part) {
	p.had += i.cost
	i.most = max(i.most, p.had)
}

// admitOwed admits a request that admit has refused if its organisation has had less
// than owedPart of what another one has. The processor time that it takes beforehand is
// missing for the others later; it is bounded as what can be saved up is.
func (i *intake) admitOwed(now time.Time, org string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.partOf(now, org)
	if float64(p.had+i.cost) > owedPart*float64(i.most) || i.balance < -i.room() {
		return false
	}
	i.count(p)
	i.balance -= i.cost
	i.taken++
	i.refused--
	return true
}

// rate is the part of the cores that requests may use, and room how much of it is saved
// up at most.
func (i *intake) rate() float64       { return intakeShare * i.cores }
func (i *intake) room() time.Duration { return time.Duration(i.rate() * float64(intakeBurst)) }

// admit reports whether there is processor time for one more request, and takes it.
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

// short brings the balance to now, and takes what a refusal costs if there is no time
// for a request.
func (i *intake) short(now time.Time) bool {
	room := i.room()
	gained := room
	if !i.at.IsZero() {
		gained = min(room, time.Duration(i.rate()*float64(now.Sub(i.at))))
	}
	i.at = now
	i.balance = min(room, i.balance+gained)
	i.forRefusals = min(room, i.forRefusals+time.Duration(refusalShare*float64(gained)))
	if i.balance >= i.cost {
		return false
	}
	i.refused++
	spent := min(refusalCost, i.forRefusals)
	i.balance -= spent
	i.forRefusals -= spent
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

// learn takes how long goroutines waited for the processor since the last call. It
// reports whether many requests were refused meanwhile for a lack that shows.
func (i *intake) learn(lag time.Duration) (crowded bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	growing := lag >= i.lag
	i.lag = lag
	switch {
	case lag >= lagHigh && !growing:
		// What was taken in before is still being worked off.
	case lag >= lagHigh:
		i.cost = min(costMost, time.Duration(costRise*float64(i.cost)))
	case lag < lagLow && i.refused > 0:
		i.cost = max(costLeast, time.Duration(costFall*float64(i.cost)))
	case lag < lagLow && i.cost > costFirst:
		// The lack is over: the next callers need not be refused to find that out.
		i.cost = max(costFirst, time.Duration(costFall*float64(i.cost)))
	}
	crowded = lag >= lagLow && float64(i.refused) > crowdedPart*float64(i.taken)
	i.taken, i.refused = 0, 0
	i.forget()
	return crowded
}

// forget drops the organisations that have had next to nothing of late.
func (i *intake) forget() {
	i.most = 0
	for org, p := range i.parts {
		if i.partOf(i.at, org); p.had < costLeast/10 {
			delete(i.parts, org)
		}
		i.most = max(i.most, p.had)
	}
}
