// Package owner grants the slots of the upstreams that this router owns. Entries
// tell what waits (demand); a free slot goes to the organisation that has
// received the least service for its share, and there to the entry that has
// waited longest. The package is a pure state machine: messages go in, grants
// come out as effects.
package owner

import (
	"sort"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// rampUpFor is how long a new owner grants only half of the slots, while
	// entries tell it what they already hold.
	rampUpFor = 500 * time.Millisecond
	// demandTTL is how long an entry's demand counts without being repeated.
	demandTTL = 15 * time.Second
	// reportAllEvery is every how many reports the counters of organisations that
	// do not wait are told too: nobody competes with them.
	reportAllEvery = 10
	// reservedSlotsDivisor of the slots may be granted to short work over the slots,
	// where long work holds them.
	reservedSlotsDivisor = 4
	// lostReleaseAfter is the age at which a grant that its entry does not list any
	// more counts as given back.
	lostReleaseAfter = 2 * time.Second
	// unlistedGrantTTL is how long a grant counts that its entry does not list.
	// Entries list what they hold each few seconds, and nothing once they hold
	// nothing.
	unlistedGrantTTL = 15 * time.Second
)

// State holds the slots of the owned upstreams and the demand for them.
type State struct {
	self        core.RouterID
	grantPrefix core.GrantID
	lastGrant   core.GrantID
	services    map[string]*service
	upstreams   map[string]*upstream
	nextTick    time.Time
	// reports counts the reports of counters.
	reports int
	// seekTurn is the entry that was last asked for work.
	seekTurn int
	// slotPartitions divides the slots of each upstream, at least 1.
	slotPartitions int
	// grantsPausedUntil is until when nothing is granted.
	grantsPausedUntil time.Time
	// grantExpiryDisabled keeps grants that no entry lists; it is for tests only.
	grantExpiryDisabled bool
	// decisions are the latest grants, for operators.
	decisions decisionLog
}

// New returns a state that owns nothing. The prefix tells this incarnation's
// grants from those of others.
func New(self core.RouterID, prefix uint16) *State {
	return &State{
		self:           self,
		grantPrefix:    core.GrantID(prefix) << 32,
		services:       make(map[string]*service),
		upstreams:      make(map[string]*upstream),
		slotPartitions: 1,
	}
}

// PartitionSlots makes this owner grant only its fixed slice of each upstream's slots.
func (s *State) PartitionSlots(routers int) { s.slotPartitions = routers }

// DisableGrantExpiry switches off what frees grants whose release got lost; it is for
// tests only, which show that their checks notice it.
func (s *State) DisableGrantExpiry() { s.grantExpiryDisabled = true }

// Configure takes shares and slots from a configuration.
func (s *State) Configure(now time.Time, c *config.Config) []core.Effect {
	for _, sc := range c.Services {
		sv := s.service(sc.Name)
		sv.slots = max(1, sc.Slots/s.slotPartitions)
		sv.continuousBatching = sc.Kind == config.Model
		for _, org := range c.Organisations {
			sv.queue.SetShare(org.Name, org.Share)
		}
	}
	for _, u := range s.upstreams {
		sv := s.service(u.Service)
		u.slots, u.continuousBatching = sv.slots, sv.continuousBatching
	}
	return s.grantAll(now)
}

// SetOwned replaces the set of owned upstreams. A new one is granted carefully at
// first; one that moved to another owner is forgotten with its grants.
func (s *State) SetOwned(now time.Time, owned []core.Upstream) []core.Effect {
	keep := make(map[string]bool, len(owned))
	for _, u := range owned {
		keep[u.ID] = true
		known := s.upstreams[u.ID]
		if known == nil {
			known = newUpstream(u, s.service(u.Service))
			known.rampUpUntil = now.Add(rampUpFor)
			s.upstreams[u.ID] = known
		}
		known.updateListing(now, u)
	}
	for id, u := range s.upstreams {
		if !keep[id] {
			s.dropGrants(u, func(*grant) bool { return true })
			delete(s.upstreams, id)
		}
	}
	return s.grantAll(now)
}

// HandleDemand takes an entry's word on what waits there.
func (s *State) HandleDemand(now time.Time, from core.RouterID, m *wire.Demand) []core.Effect {
	var effects []core.Effect
	touched := make(map[string]bool)
	for _, d := range m.Services {
		sv := s.service(d.Service)
		for _, q := range d.Queues {
			sv.setDemand(now, from, q)
		}
		touched[d.Service] = true
	}
	for _, name := range sorted(touched) {
		effects = append(effects, s.grantService(now, s.services[name])...)
	}
	return effects
}

// RemovePeer forgets an entry that is dead or has left, with its grants.
func (s *State) RemovePeer(now time.Time, id core.RouterID) []core.Effect {
	for _, u := range s.upstreams {
		s.dropGrants(u, func(g *grant) bool { return g.key.entry == id })
	}
	for _, sv := range s.services {
		for org, byEntry := range sv.demand {
			for k := range byEntry {
				if k.entry == id {
					delete(byEntry, k)
				}
			}
			sv.updateBacklogged(org)
		}
	}
	return s.grantAll(now)
}

// HandleUpstreamNotice takes what an entry observed of an upstream.
func (s *State) HandleUpstreamNotice(now time.Time, id string, state wire.UpstreamState) []core.Effect {
	u := s.upstreams[id]
	if u == nil {
		return nil
	}
	switch state {
	case wire.UpstreamState_UPSTREAM_LEAVING:
		u.markLeaving(now)
	case wire.UpstreamState_UPSTREAM_CRASHED:
		u.recordFailure(now)
	case wire.UpstreamState_UPSTREAM_OK:
		u.recordSuccess()
	}
	return s.grantService(now, s.service(u.Service))
}

// Tick drops stale demand and grants what time has freed.
func (s *State) Tick(now time.Time) []core.Effect {
	if now.Before(s.nextTick) {
		return nil
	}
	s.nextTick = time.Time{}
	for _, sv := range s.services {
		sv.expireDemand(now)
	}
	for _, u := range s.upstreams {
		s.dropGrants(u, func(g *grant) bool { return now.Sub(g.lastListed) > unlistedGrantTTL && !s.grantExpiryDisabled })
		if len(u.grants) > 0 {
			s.nextTick = timers.Earliest(s.nextTick, now.Add(unlistedGrantTTL/2))
		}
	}
	return s.grantAll(now)
}

// Wake is when Tick is next due; zero if never.
func (s *State) Wake() time.Time { return s.nextTick }

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
