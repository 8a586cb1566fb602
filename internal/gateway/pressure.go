package gateway

import (
	"sync"
	"syscall"
	"time"
)

const (
	// pressureHigh is the part of its processor time from which a router takes
	// itself out of rotation: the platform spreads callers by a hash, so one router
	// may get many times the load of its neighbours. Below pressureLow, once that
	// has lasted for pressureCalm, it comes back. The same callers come back with it,
	// until the platform gives them to a router with more cores: each time that they
	// are too many again within calmMemory, it stays out for calmGrowth times as long,
	// up to calmMost. calmMemory is more than the users' crests are apart (13 s); the
	// growth and its bound are choices.
	pressureHigh   = 0.85
	pressureLow    = 0.5
	minCalm        = time.Second
	calmGrowth     = 4
	maxCalm        = 32 * time.Second
	calmResetAfter = 20 * time.Second
	// lagHigh and lagLow bound in the same way how long goroutines wait for the
	// processor: a slow instance may not account for what its router lacks
	// (docs/MEASURES.md, constants).
	lagHigh = 40 * time.Millisecond
	lagLow  = 20 * time.Millisecond
	// pressureFull is the part from which it also refuses some requests at once,
	// so that their callers go to another router: shedStep more with each sample,
	// and as many fewer below that, up to shedMax. lagFull is the lag that does the
	// same, and a multiple of it, up to shedSteps, as many steps: a lag grows to
	// seconds within one. The steps and their bounds are choices.
	pressureFull = 0.95
	lagFull      = 80 * time.Millisecond
	shedStep     = 0.15
	maxShedSteps = 4
	maxShedShare = 0.9
	// retryAfterOverload is when to come back from a router without processor time. The
	// platform sends a repeat to another router, the same one for all repeats of a
	// caller: it needs the time to leave the rotation as well.
	retryAfterOverload = time.Second
)

// pressure reports whether the process gets the processor time that it needs: from
// what it uses, and from how long its goroutines wait for it. The lateness of timers
// does not tell, since the runtime runs what they wake before the rest. It is safe
// for concurrent use.
type pressure struct {
	// cores is the processor time that the process may use.
	cores     float64
	admission *admission

	mu        sync.Mutex
	sampledAt time.Time
	used      time.Duration
	high      bool
	// calmFrom is since when a router out of rotation is calm, calm how long that has
	// to last, and backAt when it last came back.
	calmFrom    time.Time
	calmNeeded  time.Duration
	recoveredAt time.Time
	// shedShare is the part of the requests that is refused, and owed what has
	// accumulated of it.
	shedShare, shedAccumulated float64
}

// sample takes the processor time used up to now and the lag since the last
// sample. It reports a change in whether the router takes new callers.
func (p *pressure) sample(now time.Time, used, lag time.Duration) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wall, spent := now.Sub(p.sampledAt), used-p.used
	first := p.sampledAt.IsZero()
	p.sampledAt, p.used = now, used
	if first || wall <= 0 || p.cores <= 0 {
		return false
	}
	utilisation := spent.Seconds() / (wall.Seconds() * p.cores)
	if p.admission.adjustCost(lag) {
		// What is refused for lack of time shows the same as time that is spent.
		utilisation = max(utilisation, pressureHigh)
	}
	return p.update(now, utilisation, lag)
}

// update takes the part of the processor time that was used, and the lag.
func (p *pressure) update(now time.Time, utilisation float64, lag time.Duration) (changed bool) {
	before := p.high
	if utilisation >= pressureFull || lag >= lagFull {
		steps := min(maxShedSteps, max(1, float64(lag)/float64(lagFull)))
		p.shedShare = min(maxShedShare, p.shedShare+steps*shedStep)
	} else {
		p.shedShare = max(0, p.shedShare-shedStep)
	}
	switch {
	case utilisation >= pressureHigh || lag >= lagHigh:
		if !p.high {
			p.calmNeeded = p.nextCalm(now)
		}
		p.high, p.calmFrom = true, time.Time{}
	case !p.high || utilisation >= pressureLow || lag >= lagLow:
		p.calmFrom = time.Time{}
	case p.calmFrom.IsZero():
		p.calmFrom = now
	case now.Sub(p.calmFrom) >= p.calmNeeded:
		p.high, p.recoveredAt = false, now
	}
	return p.high != before
}

// nextCalm is how long calm has to last before a router that leaves the rotation
// comes back.
func (p *pressure) nextCalm(now time.Time) time.Duration {
	if p.recoveredAt.IsZero() || now.Sub(p.recoveredAt) > calmResetAfter {
		return minCalm
	}
	return min(maxCalm, calmGrowth*p.calmNeeded)
}

// isHigh reports whether no new callers should come.
func (p *pressure) isHigh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.high
}

// shouldShed reports whether this request should go elsewhere, for the part of the
// requests that the samples ask for.
func (p *pressure) shouldShed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shedAccumulated += p.shedShare
	if p.shedAccumulated < 1 {
		return false
	}
	p.shedAccumulated--
	return true
}

// processorTime is what the process has used so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
