package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/fair"
	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// slowUpstreamWait is how long a request waits for a faster upstream before
	// it may be granted a slot of a slow one.
	slowUpstreamWait = 150 * time.Millisecond
	// localPreference is the difference in age up to which a request at this
	// router is served before an older one at another entry.
	localPreference = 250 * time.Millisecond
	// shortAgeBonus is added to the age of short work when it competes with
	// long work of the same organisation.
	shortAgeBonus = time.Second
	// maxLeadGrants is the number of long grants by whose cost an organisation
	// with short work may be ahead of others and still be served first.
	maxLeadGrants = 2
	// longCostWeight is the weight of a new sample in the moving average of the
	// cost of long work.
	longCostWeight = 0.1
)

// PauseGrantsUntil stops all grants until the given time.
func (s *State) PauseGrantsUntil(until time.Time) { s.grantsPausedUntil = until }

// grantAll grants the free slots of all services.
func (s *State) grantAll(now time.Time) []core.Effect {
	var effects []core.Effect
	for _, name := range sorted(s.services) {
		effects = append(effects, s.grantService(now, s.services[name])...)
	}
	return effects
}

// grantService grants free slots of a service until no demand fits a free slot.
func (s *State) grantService(now time.Time, sv *service) []core.Effect {
	if now.Before(s.grantsPausedUntil) {
		s.nextTick = timers.Earliest(s.nextTick, s.grantsPausedUntil)
		return nil
	}
	var effects []core.Effect
	owned := s.ownedUpstreams(sv.name)
	for {
		u, org, k, d := s.chooseGrant(now, sv, owned)
		if u == nil {
			break
		}
		s.recordDecision(now, sv, owned, u, org, k.entry)
		effects = append(effects, s.grantSlot(now, sv, u, org, k, d))
	}
	s.scheduleTick(now, sv, owned)
	return effects
}

// ownedUpstreams returns the owned upstreams of a service, ordered by ID.
func (s *State) ownedUpstreams(service string) []*upstream {
	var out []*upstream
	for _, id := range sorted(s.upstreams) {
		if u := s.upstreams[id]; u.Service == service {
			out = append(out, u)
		}
	}
	return out
}

// slotPicker selects upstreams for grants, either within their slot limits or,
// with overcommit set, above them for short work.
type slotPicker struct {
	now        time.Time
	owned      []*upstream
	overcommit bool
	// best is the preferred upstream for each kind of demand; nil if none is
	// eligible.
	best map[eligibility]*upstream
}

// eligibility is what an upstream's eligibility for a demand depends on: the
// size class, and whether the demand has waited long enough for a slow
// upstream.
type eligibility struct {
	class   core.Class
	patient bool
}

func newSlotPicker(now time.Time, owned []*upstream, overcommit bool) slotPicker {
	p := slotPicker{now: now, owned: owned, overcommit: overcommit, best: make(map[eligibility]*upstream)}
	for _, class := range []core.Class{core.ClassUnknown, core.ClassShort, core.ClassLong} {
		for _, patient := range []bool{false, true} {
			e := eligibility{class, patient}
			for _, u := range owned {
				if p.eligible(u, e) && (p.best[e] == nil || betterUpstream(u, p.best[e], now)) {
					p.best[e] = u
				}
			}
		}
	}
	return p
}

// eligible reports whether a slot of an upstream may be granted. A slow
// upstream is eligible only for demand that has waited slowUpstreamWait for a
// faster one.
func (p slotPicker) eligible(u *upstream, e eligibility) bool {
	if u.speed.slow(p.now) && !e.patient {
		return false
	}
	if p.overcommit {
		return u.overcommitSlots(p.now, e.class) > 0
	}
	return u.freeSlots(p.now) > 0
}

// pickUpstream returns the upstream to grant for a demand, nil if none is
// eligible. The preferred upstream of the demand takes precedence.
func (p slotPicker) pickUpstream(class core.Class, d *demand) *upstream {
	e := eligibility{class, p.now.Sub(d.oldest) >= slowUpstreamWait}
	if d.preferred != "" && p.best[e] != nil {
		for _, u := range p.owned {
			if u.ID == d.preferred && p.eligible(u, e) {
				return u
			}
		}
	}
	return p.best[e]
}

// chooseGrant selects the next slot to grant: first the organisation, then its
// entry, then the upstream. In the overcommit pass all backlogged organisations
// compete, including those with only long work, which may not overcommit. So
// short work gets no larger share than it would within the slot limits.
func (s *State) chooseGrant(now time.Time, sv *service, owned []*upstream) (*upstream, string, demandKey, *demand) {
	for _, overcommit := range []bool{false, true} {
		p := newSlotPicker(now, owned, overcommit)
		if len(p.best) == 0 {
			continue
		}
		org := sv.queue.Pick(p.candidates(sv))
		if org == "" {
			continue
		}
		if k, d := s.chooseEntry(p, sv.demand[org]); d != nil {
			return p.pickUpstream(k.class, d), org, k, d
		}
	}
	return nil, "", demandKey{}, nil
}

// candidates returns the organisations that may be granted a slot, with their
// allowed lead.
func (p slotPicker) candidates(sv *service) []fair.Candidate {
	out := make([]fair.Candidate, 0, len(sv.demand))
	for org, byEntry := range sv.demand {
		fits, short := false, false
		for k, d := range byEntry {
			if d.waiting > 0 && (p.overcommit || p.pickUpstream(k.class, d) != nil) {
				fits = true
				short = short || k.class == core.ClassShort
			}
		}
		if fits {
			out = append(out, fair.Candidate{Organisation: org, Lead: sv.allowedLead(short)})
		}
	}
	return out
}

// chooseEntry selects the entry that is served next for an organisation: the
// one that has waited longest, or this router's own entry if it has waited
// nearly as long, since a local grant needs no message.
func (s *State) chooseEntry(p slotPicker, byEntry map[demandKey]*demand) (demandKey, *demand) {
	var best, own *demand
	var bestKey, ownKey demandKey
	for k, d := range byEntry {
		if d.waiting == 0 || p.pickUpstream(k.class, d) == nil {
			continue
		}
		if best == nil || servedBefore(d, k, best, bestKey) {
			best, bestKey = d, k
		}
		if k.entry == s.self && (own == nil || servedBefore(d, k, own, ownKey)) {
			own, ownKey = d, k
		}
	}
	if own != nil && ownKey.class == bestKey.class && own.oldest.Sub(best.oldest) <= localPreference {
		return ownKey, own
	}
	return bestKey, best
}

// servedBefore orders the demands of one organisation by age, with a bonus for
// short work.
func servedBefore(a *demand, ak demandKey, b *demand, bk demandKey) bool {
	aArrival, bArrival := a.effectiveArrival(ak.class), b.effectiveArrival(bk.class)
	if !aArrival.Equal(bArrival) {
		return aArrival.Before(bArrival)
	}
	return ak.entry < bk.entry || (ak.entry == bk.entry && ak.class < bk.class)
}

// effectiveArrival returns the arrival time of the oldest request, moved back
// by the bonus for short work.
func (d *demand) effectiveArrival(class core.Class) time.Time {
	if class == core.ClassShort {
		return d.oldest.Add(-shortAgeBonus)
	}
	return d.oldest
}

// allowedLead returns the cost by which an organisation with short work may be
// ahead of others and still be served first. Short work then does not wait
// behind long work, and the imbalance between organisations stays bounded by
// this cost.
func (sv *service) allowedLead(short bool) uint64 {
	if !short {
		return 0
	}
	return maxLeadGrants * uint64(sv.meanLongCost)
}

// observeCost adds the expected cost of a grant to the moving average of long
// work.
func (sv *service) observeCost(class core.Class, cost uint64) {
	if class == core.ClassLong {
		sv.meanLongCost += longCostWeight * (float64(cost) - sv.meanLongCost)
	}
}

// betterUpstream reports whether a slot of a is preferred to one of b: an
// upstream that is not slow first, then the one with the larger fraction of
// free slots.
func betterUpstream(a, b *upstream, now time.Time) bool {
	if a.speed.slow(now) != b.speed.slow(now) {
		return b.speed.slow(now)
	}
	return a.freeSlots(now)*b.slots > b.freeSlots(now)*a.slots
}

// grantSlot grants a slot of an upstream to an entry, charges the expected cost
// and returns the message to the entry.
func (s *State) grantSlot(now time.Time, sv *service, u *upstream, org string, k demandKey, d *demand) core.Effect {
	s.lastGrant++
	id := s.grantPrefix | s.lastGrant
	key := grantKey{k.entry, id}
	u.grants[key] = &grant{key: key, org: org, class: k.class, grantedAt: now, lastListed: now, expectedRest: d.expectedCost, sampledAt: now}
	s.nextTick = timers.Earliest(s.nextTick, now.Add(unlistedGrantTTL))
	sv.queue.AddPending(org, d.expectedCost)
	sv.observeCost(k.class, d.expectedCost)
	// The next request in that queue is younger. The remaining arrivals are
	// assumed to be spread evenly between the oldest one and the time of the
	// report.
	d.oldest = d.oldest.Add(d.receivedAt.Sub(d.oldest) / time.Duration(d.waiting))
	d.waiting--
	if d.waiting == 0 {
		sv.updateBacklogged(org)
	}
	return core.SendPeer{To: k.entry, Message: &wire.Envelope{Body: &wire.Envelope_Grant{Grant: &wire.Grant{
		Id: uint64(id), Upstream: u.ID, Organisation: org, Class: k.class,
	}}}}
}

// scheduleTick advances the next Tick to the earliest time at which a slot
// becomes available without a message, waiting work may use a slow upstream, or
// demand expires.
func (s *State) scheduleTick(now time.Time, sv *service, owned []*upstream) {
	if len(sv.demand) == 0 {
		return
	}
	s.nextTick = timers.Earliest(s.nextTick, now.Add(demandTTL))
	slow := false
	for _, u := range owned {
		s.nextTick = timers.Earliest(s.nextTick, u.nextOpening(now))
		slow = slow || (u.speed.slow(now) && u.freeSlots(now) > 0)
	}
	if slow {
		s.nextTick = timers.Earliest(s.nextTick, now.Add(slowUpstreamWait/4))
	}
}
