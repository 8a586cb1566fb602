package dispatch

import (
	"hash/fnv"
	"time"

	"github.com/jujubeford/jujubeford/internal/coldstart"
)

// Load is what one router, or all of them, have in flight at an upstream.
type Load struct {
	// Running counts the attempts.
	Running int
	// Prefill is the number of prompt tokens not yet read.
	Prefill int
	// DecodeAttempts counts the attempts of classDecode among them.
	DecodeAttempts int
	// Memory is the number of tokens that the attempts occupy when they end.
	Memory int
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Prefill += o.Prefill
	l.DecodeAttempts += o.DecodeAttempts
	l.Memory += o.Memory
}

func (l *Load) sub(o Load) {
	l.Running -= o.Running
	l.Prefill -= o.Prefill
	l.DecodeAttempts -= o.DecodeAttempts
	l.Memory -= o.Memory
}

// atLeastZero returns the load with negative values replaced by 0.
func (l Load) atLeastZero() Load {
	return Load{
		Running: max(0, l.Running), Prefill: max(0, l.Prefill),
		DecodeAttempts: max(0, l.DecodeAttempts), Memory: max(0, l.Memory),
	}
}

// upstream is an instance with its load and the expected content of its cache.
type upstream struct {
	Instance
	key    uint32
	runKey uint64
	local  Load
	remote Load
	cache  prefixCache
	// class is the workload class that the upstream is assigned to.
	class workloadClass
	// prefillBusy is the moving average of the fraction of time spent on prefill.
	prefillBusy float64
	sampledAt   time.Time
	// incomingMoves counts the moves of this router to the upstream in progress.
	incomingMoves int
	// replaced means that another instance answers at its address.
	replaced bool
	// leaving means that the instance announced that it is about to stop.
	leaving bool
	// departedUntil is until when the entry counts as that of an instance that has left,
	// because a peer knows it to come from an older copy of the directory.
	departedUntil time.Time
	// leftAt is the earliest time at which the instance may have left or announced that it
	// will, zero if it has not.
	leftAt time.Time
	// evacuatedAt is when this router learnt that the upstream's domain is evacuated, zero if
	// it is not.
	evacuatedAt time.Time
	// unavailableUntil is until when the upstream gets no work, because it refused a
	// connection or asked for a hold-off.
	unavailableUntil time.Time
	// run identifies this run of the instance among what is learnt of speeds, and speed is
	// its speed as a multiple of the mean of its service.
	run   uint32
	speed float64
	// slow and fast say that its speed is below or above the others'; see updateSpeeds.
	slow, fast bool
	// reservedFor is the waiting request that this router reserves memory for, nil for none.
	reservedFor *request
	// limit bounds the requests that the upstream gets.
	limit rateLimit
	// cold is the upstream's temperature. countedCold means that ColdChanged has told that
	// it is cold.
	cold        coldstart.Upstream
	countedCold bool
	pace        upstreamPace
}

// acceptsWork reports whether the upstream may get work at all.
func (u *upstream) acceptsWork(now time.Time) bool {
	return !u.replaced && !u.isLeaving(now) && !now.Before(u.unavailableUntil)
}

// markLeft records that the instance is leaving or gone.
func (u *upstream) markLeft(now time.Time) {
	if u.leftAt.IsZero() {
		u.leftAt = now
	}
}

// mayContinue reports whether requests that are bound to the upstream may still be sent.
func (u *upstream) mayContinue(now time.Time) bool {
	return (u.leftAt.IsZero() || now.Sub(u.leftAt) < maxSendAfterLeaving) && u.maySendEvacuated(now)
}

// Key returns the short identifier of an instance, an organisation or a service in
// reports between routers.
func Key(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// running returns the number of attempts of all routers at the upstream.
func (u *upstream) running() int { return u.local.Running + u.remote.Running }

// prefill returns the number of unread prompt tokens of all routers at the upstream.
func (u *upstream) prefill() int { return u.local.Prefill + u.remote.Prefill }

// samplePrefill updates prefillBusy, given the prefill rate in tokens per second.
func (u *upstream) samplePrefill(now time.Time, rate float64) {
	const window = 2 * time.Second
	step := now.Sub(u.sampledAt)
	if u.sampledAt.IsZero() || step <= 0 {
		u.sampledAt = now
		return
	}
	u.sampledAt = now
	busy := min(1, float64(u.prefill())/(rate*step.Seconds()))
	weight := min(1, step.Seconds()/window.Seconds())
	u.prefillBusy += weight * (busy - u.prefillBusy)
}
