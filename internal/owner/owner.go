// Package owner schedules the slots of the upstreams that this router owns.
// Entries report their backlog as demand. A free slot is granted to the
// organisation that has received the least service relative to its share, and
// within it to the entry whose oldest request has waited longest. The package
// is a pure state machine: messages go in, and grants come out as effects.
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
	// rampUpFor is how long a new owner grants only half of an upstream's
	// slots, while entries report the grants that they already hold.
	rampUpFor = 500 * time.Millisecond
	// demandTTL is how long an entry's demand stays valid without being
	// repeated.
	demandTTL = 15 * time.Second
	// reportAllEvery is the number of counter reports after which one report
	// also includes organisations without a backlog. They are reported less
	// often because no organisation competes with them.
	reportAllEvery = 10
	// reservedSlotsDivisor gives the share of an upstream's slots,
	// 1/reservedSlotsDivisor, up to which short work may exceed the slot limit
	// while long work holds slots.
	reservedSlotsDivisor = 4
	// lostReleaseAfter is the age from which a grant that is missing from its
	// entry's list counts as released: the release message was lost.
	lostReleaseAfter = 2 * time.Second
	// unlistedGrantTTL is how long a grant stays valid without being listed by
	// its entry. Entries list their grants every few seconds, and send no list
	// when they hold none.
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
	// reports counts the counter reports made so far.
	reports int
	// seekTurn is the index of the entry that was last asked for demand.
	seekTurn int
	// slotPartitions is the number of equal parts that each upstream's slots
	// are divided into, at least 1. This owner grants one part.
	slotPartitions int
	// grantsPausedUntil is the time before which nothing is granted.
	grantsPausedUntil time.Time
	// grantExpiryDisabled keeps grants that no entry lists. For tests only.
	grantExpiryDisabled bool
	// decisions holds the latest grants, for operators.
	decisions decisionLog
}

// New returns a state that owns no upstream. The prefix distinguishes the grant
// IDs of this incarnation from those of others.
func New(self core.RouterID, prefix uint16) *State {
	return &State{
		self:           self,
		grantPrefix:    core.GrantID(prefix) << 32,
		services:       make(map[string]*service),
		upstreams:      make(map[string]*upstream),
		slotPartitions: 1,
	}
}

// PartitionSlots makes this owner grant only a fixed part of each upstream's
// slots: one in the given number of routers.
func (s *State) PartitionSlots(routers int) { s.slotPartitions = routers }

// DisableGrantExpiry disables the expiry of grants whose release was lost. For
// tests only, which show that their checks detect the leaked slots.
func (s *State) DisableGrantExpiry() { s.grantExpiryDisabled = true }

// Configure applies the shares and slot limits of a configuration.
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

// SetOwned replaces the set of owned upstreams. A new upstream starts with the
// reduced slot limit of the ramp-up. An upstream that moved to another owner is
// dropped with its grants.
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

// HandleDemand replaces what is known of an entry's queues by the demand that
// it reports.
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

// RemovePeer drops the grants and the demand of an entry that is dead or has
// left.
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

// HandleUpstreamNotice applies the state of an upstream that an entry observed.
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

// Tick drops expired demand and grants, and grants the slots that have become
// free.
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

// Wake returns the time at which Tick is next due; zero if never.
func (s *State) Wake() time.Time { return s.nextTick }

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
