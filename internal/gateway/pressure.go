package gateway

import (
	"sync"
	"syscall"
	"time"
)

const (
	// pressureHigh is the share of its processor time above which a router takes itself
	// out of rotation: the platform spreads callers by a hash, so one router may get
	// many times the load of its neighbours. It returns once the share has stayed below
	// pressureLow for minCalm. The same callers return with it, until the platform
	// assigns them to a router with more cores. If they overload it again within
	// calmResetAfter of its return, it stays out calmGrowth times as long, up to
	// maxCalm. calmResetAfter exceeds the time between the users' load peaks (13 s).
	pressureHigh   = 0.85
	pressureLow    = 0.5
	minCalm        = time.Second
	calmGrowth     = 4
	maxCalm        = 32 * time.Second
	calmResetAfter = 20 * time.Second
	// lagHigh and lagLow are the same thresholds for how long goroutines wait for the
	// processor: on a slow instance the used processor time may not show that the
	// router is short of it (docs/MEASURES.md, constants).
	lagHigh = 40 * time.Millisecond
	lagLow  = 20 * time.Millisecond
	// pressureFull is the share from which the router also refuses some requests at
	// once, so that their callers go to another router: each sample above it adds
	// shedStep to the share refused, up to maxShedShare, and each one below subtracts
	// shedStep. lagFull is the corresponding lag. Multiples of it add as many steps, up
	// to maxShedSteps, since the lag can grow to seconds within one sample.
	pressureFull = 0.95
	lagFull      = 80 * time.Millisecond
	shedStep     = 0.15
	maxShedSteps = 4
	maxShedShare = 0.9
	// retryAfterOverload is the Retry-After of a router short of processor time. The
	// platform sends a caller's repeats to another router, the same one for all of
	// them, which needs this time to leave the rotation as well.
	retryAfterOverload = time.Second
)

// pressure tells whether the process gets the processor time that it needs, from the
// time that it uses and from how long its goroutines wait for the processor. The
// lateness of timers does not show that, since the runtime runs the goroutines that
// they wake before the others. It is safe for concurrent use.
type pressure struct {
	// cores is the processor time that the process may use, in cores; 0 if not limited.
	cores     float64
	admission *admission

	mu        sync.Mutex
	sampledAt time.Time
	used      time.Duration
	high      bool
	// calmFrom is since when a router out of rotation has been calm, calmNeeded how
	// long it has to stay calm, and recoveredAt when it last returned to rotation.
	calmFrom    time.Time
	calmNeeded  time.Duration
	recoveredAt time.Time
	// shedShare is the share of requests to refuse, and shedAccumulated the sum of
	// shedShare over the requests so far, less one for each refused request.
	shedShare, shedAccumulated float64
}

// sample updates the pressure from the processor time used so far and the lag since the
// last sample. It reports whether isHigh has changed.
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
	if p.admission.adjustCost(now, lag, spent) {
		// Overload that shows in refusals counts as high utilisation.
		utilisation = max(utilisation, pressureHigh)
	}
	return p.update(now, utilisation, lag)
}

// update updates shedShare and high from the share of the processor time used and the
// lag. It reports whether high has changed.
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

// nextCalm is how long a router that leaves the rotation now has to stay calm before it
// returns.
func (p *pressure) nextCalm(now time.Time) time.Duration {
	if p.recoveredAt.IsZero() || now.Sub(p.recoveredAt) > calmResetAfter {
		return minCalm
	}
	return min(maxCalm, calmGrowth*p.calmNeeded)
}

// isHigh reports whether the router should get no new callers.
func (p *pressure) isHigh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.high
}

// shouldShed reports whether to refuse this request, so that shedShare of all requests
// are refused.
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

// processorTime is the processor time that the process has used so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
