package engine

import (
	"sync"
	"time"
)

// maxCatchUpSteps is by how many steps a late batch may hurry to be on time again.
const maxCatchUpSteps = 10

// batch decodes all running streams together, one token each a step. It steps by
// a timer that runs only while a stream does.
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
	// slowUntil is when the fault of slowness ends; zero if it stays.
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

// job is a request to generate.
type job struct {
	id     string
	prompt string
	model  string
	// skipTokens is how many tokens of the answer came from elsewhere.
	skipTokens int
	length     int
}

// start admits a job and attaches its first reader. A second run under the same
// id gets an id of its own.
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

// resume attaches a reader to a stream that is running or kept.
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

func (b *batch) attach(s *stream) chan struct{} {
	woken := make(chan struct{}, 1)
	s.readers[woken] = struct{}{}
	if s.expiry != nil {
		s.expiry.Stop()
		s.expiry = nil
	}
	return woken
}

// detach takes a reader off. A stream without readers is cancelled after the
// grace; one that was generated whole is kept for that long.
func (b *batch) detach(s *stream, woken chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(s.readers, woken)
	if len(s.readers) > 0 || s.expiry != nil {
		return
	}
	s.expiry = time.AfterFunc(b.options.Grace, func() { b.expire(s) })
}

func (b *batch) expire(s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(s.readers) == 0 && b.streams[s.id] == s {
		b.removeStream(s)
	}
}

// cancel ends a stream by its id; false if there is none.
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

// reset ends all streams and forgets the prefixes.
func (b *batch) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cache = newPrefixCache(b.options.CacheBlocks)
	for _, s := range b.streams {
		b.removeStream(s)
	}
}

// removeStream forgets a stream and stops generating it; b.mu is held.
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

// removeStopped takes streams off the batch that do not run; b.mu is held.
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

// progressOf says how far a stream is.
func (b *batch) progressOf(s *stream) progress {
	b.mu.Lock()
	defer b.mu.Unlock()
	return progress{generated: s.generated, phase: s.phase}
}

// step generates a token for each stream that is past its prefill.
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

// scheduleStep sets the timer for the next step; b.mu is held.
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

// interval is the time of one step: it grows with the batch, and in proportion
// to it once the batch is larger than the slots.
func (b *batch) interval(now time.Time) time.Duration {
	size, slots := float64(len(b.running)), float64(b.options.Slots)
	factor := 1 + b.options.LoadFactor*min(size, slots)/slots
	factor *= max(1, size/slots)
	if b.isSlowed(now) {
		factor *= b.faults.SlowFactor
	}
	return time.Duration(float64(b.options.TokenTime) * factor)
}

func (b *batch) isSlowed(now time.Time) bool {
	return b.faults.SlowFactor > 0 && (b.slowUntil.IsZero() || now.Before(b.slowUntil))
}

func (b *batch) loadLag() time.Duration {
	if b.faults.LoadLag != nil {
		return b.faults.LoadLag.Duration()
	}
	return b.options.LoadLag
}

// accountSlotTime adds the slot time used since the batch last changed its size; b.mu is
// held.
func (b *batch) accountSlotTime(now time.Time) {
	used := min(len(b.running), b.options.Slots)
	b.stats.BusySlotSeconds += float64(used) * now.Sub(b.busySince).Seconds()
	b.busySince = now
}
