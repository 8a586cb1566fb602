package dispatch

import (
	"hash/fnv"
	"time"
)

// Load is what one router, or all of them, have under way at an upstream.
type Load struct {
	// Running counts the attempts.
	Running int
	// Prefill is the number of prompt tokens not yet read.
	Prefill int
	// Output counts the attempts of groupOutput among them.
	Output int
	// Memory is the number of tokens that the attempts occupy at their end.
	Memory int
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Prefill += o.Prefill
	l.Output += o.Output
	l.Memory += o.Memory
}

func (l *Load) sub(o Load) {
	l.Running -= o.Running
	l.Prefill -= o.Prefill
	l.Output -= o.Output
	l.Memory -= o.Memory
}

// upstream is an instance with its load and what its cache is expected to hold.
type upstream struct {
	Instance
	key    uint32
	local  Load
	remote Load
	cache  prefixCache
	// class is the one that the upstream is set apart for.
	class workloadClass
	// prefillBusy is a moving average of the part of the time spent on prompts.
	prefillBusy float64
	sampledAt   time.Time
	// incomingMoves counts the moves of this router to it that are under way.
	incomingMoves int
	// replaced means that another instance answers at its address.
	replaced bool
	// leaving means that the instance said that it is about to stop.
	leaving bool
	// unavailableUntil is until when a refused connection, or the instance's own wish, keeps
	// work away.
	unavailableUntil time.Time
}

// acceptsWork reports whether the upstream may get work at all.
func (u *upstream) acceptsWork(now time.Time) bool {
	return !u.replaced && !u.leaving && !now.Before(u.unavailableUntil)
}

// Key is the short name of an upstream in reports between routers.
func Key(instanceID string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(instanceID))
	return h.Sum32()
}

// running is the number of attempts of all routers.
func (u *upstream) running() int { return u.local.Running + u.remote.Running }

// prefill is the number of prompt tokens that all routers have waiting there.
func (u *upstream) prefill() int { return u.local.Prefill + u.remote.Prefill }

// samplePrefill updates the average of time spent on prompts.
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
