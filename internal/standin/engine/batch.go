package engine

import (
	"sync"
	"time"
)

// maxCatchUpSteps is the number of step intervals up to which a late batch runs
// steps back to back to catch up. A batch that is later than that skips the time.
const maxCatchUpSteps = 10

// batch decodes all running streams together and generates one token for each
// stream per step. The timer that drives the steps runs only while there are
// running streams.
type batch struct {
	options Options
	cache   prefixCache

	mu      sync.Mutex
	streams map[string]*stream
	running []*stream
	timer   *time.Timer
	// nextStepAt is when the next step is due; zero while idle.
	nextStepAt time.Time
	faults     Faults
	// slowUntil is when Faults.SlowFactor expires; zero if it doesn't.
	slowUntil time.Time
	load      loadHistory
	stats     Stats
	started   time.Time
	busySince time.Time
}

func newBatch(options Options) *batch {
	now := time.Now()
	return &batch{
		options:   options,
		cache:     newPrefixCache(options.CacheBlocks),
		streams:   make(map[string]*stream),
		started:   now,
		busySince: now,
	}
}

// job describes a stream to generate.
type job struct {
	id     string
	prompt string
	model  string
	// skipTokens is the number of tokens at the start of the answer that the
	// caller already has and that are not generated.
	skipTokens int
	length     int
}

// start adds a job to the batch and attaches its first reader. If a stream with
// the same id exists, the new stream gets a modified id.
func (b *batch) start(j job) (*stream, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	id := j.id
	for b.streams[id] != nil {
		id += "~"
	}
	tokens, cached := b.cache.lookupAndAdd(j.prompt)
	s := &stream{
		id:            id,
		seed:          promptSeed(j.prompt),
		model:         j.model,
		skipTokens:    j.skipTokens,
		promptTokens:  tokens,
		cachedTokens:  cached,
		length:        j.length,
		readyAt:       now.Add(time.Duration(tokens-cached) * b.options.PrefillTime),
		stepsPerToken: b.faults.stepsPerToken(id),
		readers:       make(map[chan struct{}]struct{}),
	}
	b.streams[id] = s
	b.accountSlotTime(now)
	b.running = append(b.running, s)
	b.stats.Started++
	b.load.record(now, len(b.running), b.loadLag())
	if b.nextStepAt.IsZero() {
		b.scheduleStep(now)
	}
	return s, b.attach(s)
}

// resume attaches a reader to a stream that is running or kept after its end. It
// returns nil if there is no such stream.
func (b *batch) resume(id string) (*stream, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	if s == nil || s.phase == phaseCancelled {
		return nil, nil
	}
	b.stats.Resumed++
	return s, b.attach(s)
}

// attach adds a reader to a stream and stops the stream's expiry; b.mu is held.
// The returned channel receives a value when the stream has changed.
func (b *batch) attach(s *stream) chan struct{} {
	woken := make(chan struct{}, 1)
	s.readers[woken] = struct{}{}
	if s.expiry != nil {
		s.expiry.Stop()
		s.expiry = nil
	}
	return woken
}

// detach removes a reader. A stream without readers is removed after
// Options.StreamGrace; if it is still running then, it is cancelled.
func (b *batch) detach(s *stream, woken chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(s.readers, woken)
	if len(s.readers) > 0 || s.expiry != nil {
		return
	}
	s.expiry = time.AfterFunc(b.options.StreamGrace, func() { b.expire(s) })
}

// expire removes a stream that still has no readers.
func (b *batch) expire(s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(s.readers) == 0 && b.streams[s.id] == s {
		b.removeStream(s)
	}
}

// cancel removes the stream with this id and returns false if there is none.
func (b *batch) cancel(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	if s == nil {
		return false
	}
	b.removeStream(s)
	return true
}

// reset removes all streams, cancelling those that run, and empties the prefix
// cache.
func (b *batch) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cache = newPrefixCache(b.options.CacheBlocks)
	for _, s := range b.streams {
		b.removeStream(s)
	}
}

// removeStream removes a stream and cancels it if it is running; b.mu is held.
func (b *batch) removeStream(s *stream) {
	delete(b.streams, s.id)
	if s.phase != phaseRunning {
		return
	}
	s.phase = phaseCancelled
	b.stats.Cancelled++
	now := time.Now()
	b.accountSlotTime(now)
	b.removeStopped()
	b.load.record(now, len(b.running), b.loadLag())
	s.notifyReaders()
}

// removeStopped removes the streams that are no longer running from b.running;
// b.mu is held.
func (b *batch) removeStopped() {
	running := b.running[:0]
	for _, s := range b.running {
		if s.phase == phaseRunning {
			running = append(running, s)
		}
	}
	clear(b.running[len(running):])
	b.running = running
}

// progressOf returns a consistent view of a stream's progress.
func (b *batch) progressOf(s *stream) progress {
	b.mu.Lock()
	defer b.mu.Unlock()
	return progress{generated: s.generated, phase: s.phase}
}

// step runs one decoding step over all running streams and schedules the next.
func (b *batch) step() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	finished := 0
	for _, s := range b.running {
		if s.step(now) {
			b.stats.Tokens++
		}
		if s.phase == phaseDone {
			finished++
		}
	}
	if finished > 0 {
		b.accountSlotTime(now)
		b.removeStopped()
		b.stats.Finished += uint64(finished)
		b.load.record(now, len(b.running), b.loadLag())
	}
	if len(b.running) == 0 {
		b.nextStepAt = time.Time{}
		return
	}
	b.scheduleStep(now)
}

// scheduleStep sets the timer for the next step; b.mu is held. Steps are spaced
// from the time at which the last one was due, so that a late timer does not
// lower the token rate.
func (b *batch) scheduleStep(now time.Time) {
	interval := b.interval(now)
	if b.nextStepAt.IsZero() || now.Sub(b.nextStepAt) > maxCatchUpSteps*interval {
		b.nextStepAt = now
	}
	b.nextStepAt = b.nextStepAt.Add(interval)
	wait := max(0, b.nextStepAt.Sub(now))
	if b.timer == nil {
		b.timer = time.AfterFunc(wait, b.step)
		return
	}
	b.timer.Reset(wait)
}

// interval returns the time of one step. It grows by LoadFactor up to a batch
// that fills all slots, and in proportion to the batch size beyond that.
func (b *batch) interval(now time.Time) time.Duration {
	size, slots := float64(len(b.running)), float64(b.options.Slots)
	factor := 1 + b.options.LoadFactor*min(size, slots)/slots
	factor *= max(1, size/slots)
	if b.isSlowed(now) {
		factor *= b.faults.SlowFactor
	}
	return time.Duration(float64(b.options.TokenTime) * factor)
}

// isSlowed reports whether the SlowFactor fault is in effect; b.mu is held.
func (b *batch) isSlowed(now time.Time) bool {
	return b.faults.SlowFactor > 0 && (b.slowUntil.IsZero() || now.Before(b.slowUntil))
}

// loadLag returns the age of load reports; b.mu is held.
func (b *batch) loadLag() time.Duration {
	if b.faults.LoadLag != nil {
		return b.faults.LoadLag.Duration()
	}
	return b.options.LoadLag
}

// accountSlotTime adds the slot time used since the last call to the stats. It is
// called before the batch changes its size; b.mu is held.
func (b *batch) accountSlotTime(now time.Time) {
	used := min(len(b.running), b.options.Slots)
	b.stats.BusySlotSeconds += float64(used) * now.Sub(b.busySince).Seconds()
	b.busySince = now
}
