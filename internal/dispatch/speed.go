package dispatch

import (
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/speed"
)

// An upstream counts as slow or fast, for the assignment of classes, beyond slowEnter and
// fastEnter, and until it is back at slowExit and fastExit: routers estimate a little
// differently, and have to agree on which upstreams differ.
const (
	slowEnter, slowExit = 0.9, 0.95
	fastEnter, fastExit = 1.1, 1.05
)

// newUpstream returns the state of an instance that nothing is known of.
func newUpstream(in Instance) *upstream {
	run := runKey(in)
	return &upstream{key: Key(in.ID), run: uint32(run ^ run>>32), speed: 1}
}

// prefillTimeAt returns how long an upstream takes to read a number of prompt tokens.
func (s *State) prefillTimeAt(u *upstream, tokens int) time.Duration {
	return time.Duration(float64(s.prefillTime(tokens)) / u.speed)
}

// plainLoad returns the requests at an upstream without an engine as a fraction of what it
// runs at once, at its speed.
func plainLoad(u *upstream) float64 {
	return float64(u.running()) / (u.speed * float64(max(1, u.Slots)))
}

// expectedWork returns the reading of an attempt's prompt as time at the speed 1, or 0 if the
// time to its first byte will not tell of the speed: part of what was queued before it may have
// been read by now, so an attempt tells of it only if its own prompt is most of the work.
func (s *State) expectedWork(r *request, choice candidate) time.Duration {
	u := choice.upstream
	if s.engine(r.Service) == nil {
		if u.running() >= u.Slots {
			return 0
		}
		return time.Nanosecond
	}
	if choice.fetchFrom != nil || 2*u.prefill() > choice.prefillTokens {
		return 0
	}
	return s.prefillTime(choice.prefillTokens)
}

// tellsOfSpeed reports whether answers of an upstream tell of its nature: not while it is in
// trouble.
func (s *State) tellsOfSpeed(now time.Time, u *upstream) bool {
	slots := max(1, u.Slots)
	return !s.options.IgnoreSpeeds && s.health.SlotLimit(u.ID, slots, now) >= slots
}

// recordSpeed counts the time to the first byte of an attempt.
func (s *State) recordSpeed(now time.Time, r *request) {
	u := r.upstream
	if r.expectedWork <= 0 || !s.tellsOfSpeed(now, u) {
		return
	}
	if s.engine(r.Service) == nil {
		s.speeds.RecordWhole(now, r.Service, u.run, now.Sub(r.sentAt))
		return
	}
	s.speeds.RecordReading(now, r.Service, u.run, r.expectedWork, now.Sub(r.sentAt))
}

// handleError records the first byte of an answer that is an error.
func (s *State) handleError(now time.Time, e ErrorReceived) {
	if r := s.activeRequest(e.ID, e.Attempt); r != nil {
		r.expectedWork = 0
		// Its failure follows, and counts for the upstream's pace.
		r.endUnanswered()
		s.handleFirstByte(now, FirstByteReceived(e))
	}
}

// handlePause counts the mean pause between the events of a stream that has ended well.
// Streams beside as many others, on an upstream that reads as much, pause alike.
func (s *State) handlePause(now time.Time, e PauseMeasured) {
	r := s.activeRequest(e.ID, e.Attempt)
	if r == nil || s.engine(r.Service) == nil || !s.tellsOfSpeed(now, r.upstream) {
		return
	}
	const steps = 4
	u := r.upstream
	slots := max(1, s.engine(r.Service).Slots)
	reading := min(steps-1, int(steps*u.prefillBusy))
	running := min(steps-1, steps*max(0, u.running())/slots)
	s.speeds.RecordPause(now, r.Service, u.run, steps*reading+running, e.Pause)
}

// updateSpeeds computes the speeds of a service's upstreams anew.
func (s *State) updateSpeeds(now time.Time, service string, list []*upstream) {
	if s.options.IgnoreSpeeds || now.Sub(s.speedsUpdatedAt[service]) < speed.ReportInterval {
		return
	}
	s.speedsUpdatedAt[service] = now
	runs := make([]uint32, len(list))
	for i, u := range list {
		runs[i] = u.run
	}
	s.speeds.Update(now, runs)
	for _, u := range list {
		u.speed = s.speeds.Of(u.run)
		slow := u.speed < slowEnter || u.slow && u.speed < slowExit
		fast := u.speed > fastEnter || u.fast && u.speed > fastExit
		if slow != u.slow || fast != u.fast {
			u.slow, u.fast = slow, fast
			s.emit(SpeedChanged{Upstream: u.Instance, Speed: u.speed, Slow: slow, Fast: fast})
		}
	}
}

// slowFirst returns a list with the slow upstreams first and the fast ones last: a stream's
// events come fast enough from a slow one, while prompts need those that read fast.
func slowFirst(list []*upstream) []*upstream {
	rank := func(u *upstream) int {
		switch {
		case u.slow:
			return 0
		case u.fast:
			return 2
		}
		return 1
	}
	if !slices.ContainsFunc(list, func(u *upstream) bool { return u.slow || u.fast }) {
		return list
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b *upstream) int { return rank(a) - rank(b) })
	return sorted
}

// SlowUpstreams returns the number of upstreams that are slow by nature.
func (s *State) SlowUpstreams() int {
	return s.countUpstreams(func(u *upstream) bool { return u.slow })
}

// FastUpstreams returns the number of upstreams that are fast by nature.
func (s *State) FastUpstreams() int {
	return s.countUpstreams(func(u *upstream) bool { return u.fast })
}

func (s *State) countUpstreams(counts func(u *upstream) bool) (n int) {
	for _, u := range s.upstreams {
		if counts(u) {
			n++
		}
	}
	return n
}
