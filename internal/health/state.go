package health

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// State holds what a router has measured of its upstreams and services.
type State struct {
	upstreams map[string]*upstream
	services  map[string]*service
	// retryRatio and retryBurst are the parameters of the retry budgets.
	retryRatio, retryBurst float64
}

// upstream holds the measurements of one instance.
type upstream struct {
	service   string
	firstByte logEWMA
	tokenGap  logEWMA
	slow      bool
	// slotShare is the share of the slots that the upstream can serve without
	// errors.
	slotShare float64
	breaker   breaker
}

// service holds the measurements over all upstreams of a service.
type service struct {
	members     map[string]*upstream
	firstBytes  latencyWindow
	retryBudget tokenBucket
	hedgeBudget tokenBucket
	// median caches the result of medians for medianRefresh.
	median   [numSignals]float64
	medianAt time.Time
}

// New returns a state without measurements.
func New() *State {
	return &State{
		upstreams: map[string]*upstream{}, services: map[string]*service{},
		retryRatio: retryRatio, retryBurst: retryBurst,
	}
}

// RecordFirstByte records the time from sending an attempt to the first byte of its response.
func (s *State) RecordFirstByte(id, svc string, now time.Time, latency time.Duration) {
	s.ensureUpstream(id, svc).firstByte.add(now, latency)
	s.ensureService(svc).firstBytes.add(latency)
}

// RecordTokenGap records the time between two tokens of a stream.
func (s *State) RecordTokenGap(id, svc string, now time.Time, gap time.Duration) {
	s.ensureUpstream(id, svc).tokenGap.add(now, gap)
}

// RecordSuccess records an attempt with a complete response.
func (s *State) RecordSuccess(id, svc string, now time.Time) {
	u := s.ensureUpstream(id, svc)
	u.breaker.recordSuccess()
	u.slotShare = min(1, u.slotShare+slotShareIncrease)
}

// RecordFailure records an attempt that ended without a complete response.
func (s *State) RecordFailure(id, svc string, now time.Time, f core.Failure) {
	u := s.ensureUpstream(id, svc)
	switch f {
	case core.FailDial, core.FailReset, core.FailIdle:
		u.breaker.recordFailure(now)
	case core.FailRefused, core.FailStatus:
		u.breaker.recordReachable()
		u.slotShare = max(minSlotShare, u.slotShare*slotShareDecrease)
	}
}

// Remove drops the measurements of an upstream.
func (s *State) Remove(id string) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	delete(s.upstreams, id)
	delete(s.services[u.service].members, id)
}

// ensureUpstream returns the entry of an upstream. It creates one if there is none
// or if the upstream belonged to another service.
func (s *State) ensureUpstream(id, svc string) *upstream {
	if u := s.upstreams[id]; u != nil && u.service == svc {
		return u
	}
	s.Remove(id)
	u := &upstream{service: svc, slotShare: 1}
	s.upstreams[id] = u
	s.ensureService(svc).members[id] = u
	return u
}

func (s *State) ensureService(svc string) *service {
	if v := s.services[svc]; v != nil {
		return v
	}
	v := &service{members: map[string]*upstream{}, retryBudget: newTokenBucket(s.retryRatio, s.retryBurst), hedgeBudget: newTokenBucket(hedgeRatio, hedgeBurst)}
	s.services[svc] = v
	return v
}
