package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/fair"
	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// slowUpstreamWait is how long a request waits for a faster upstream before a
	// slow one is granted to it.
	slowUpstreamWait = 150 * time.Millisecond
	// localPreference is by how much a request at another entry may be older than
	// one at this router that is served before it.
	localPreference = 250 * time.Millisecond
	// shortAgeBonus is added to the age of short work when it is weighed against long
	// work of the same organisation.
	shortAgeBonus = time.Second
	// maxLeadGrants is how many grants to long work an organisation with short work
	// may be ahead.
	maxLeadGrants = 2
	// longCostWeight is the weight of a new cost in the mean of long work.
	longCostWeight = 0.1
)

// PauseGrantsUntil grants nothing until a time.
func (s *State) PauseGrantsUntil(until time.Time) { s.grantsPausedUntil = until }

func (s *State) grantAll(now time.Time) []core.Effect {
	var effects []core.Effect
	for _, name := range sorted(s.services) {
		effects = append(effects, s.grantService(now, s.services[name])...)
	}
	return effects
}

// grantService grants free slots of a service while demand fits one.
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

func (s *State) ownedUpstreams(service string) []*upstream {
	var out []*upstream
	for _, id := range sorted(s.upstreams) {
		if u := s.upstreams[id]; u.Service == service {
			out = append(out, u)
		}
	}
	return out
}

// slotPicker is what may be granted: the slots, or also what short work may take over
// them.
type slotPicker struct {
	now        time.Time
	owned      []*upstream
	overcommit bool
	// best is the upstream to grant to work of a class that has waited long enough
	// for a slow one, or not; nil if none fits.
	best map[eligibility]*upstream
}

// eligibility is what decides whether an upstream fits a demand.
type eligibility struct {
	class   core.Class
	patient bool
}

func newSlotPicker(now time.Time, owned []*upstream, over bool) slotPicker {
	r := slotPicker{now: now, owned: owned, overcommit: over, best: make(map[eligibility]*upstream)}
	for _, class := range []core.Class{core.ClassUnknown, core.ClassShort, core.ClassLong} {
		for _, patient := range []bool{false, true} {
			f := eligibility{class, patient}
			for _, u := range owned {
				if r.eligible(u, f) && (r.best[f] == nil || betterUpstream(u, r.best[f], now)) {
					r.best[f] = u
				}
			}
		}
	}
	return r
}

// eligible reports whether a slot of an upstream may be granted. A slow upstream is granted
// only to what has waited a while for a faster one.
func (r slotPicker) eligible(u *upstream, f eligibility) bool {
	if u.speed.slow(r.now) && !f.patient {
		return false
	}
	if r.overcommit {
		return u.overcommitSlots(r.now, f.class) > 0
	}
	return u.freeSlots(r.now) > 0
}

// pickUpstream returns the upstream to grant for a demand, nil if none fits.
func (r slotPicker) pickUpstream(class core.Class, d *demand) *upstream {
	f := eligibility{class, r.now.Sub(d.oldest) >= slowUpstreamWait}
	if d.preferred != "" && r.best[f] != nil {
		for _, u := range r.owned {
			if u.ID == d.preferred && r.eligible(u, f) {
				return u
			}
		}
	}
	return r.best[f]
}

// chooseGrant finds the next slot to grant: the organisation first, then its entry,
// then the upstream. Over the slots, all that wait are weighed, also long work
// that may not go there: short work takes no more than it would within them.
func (s *State) chooseGrant(now time.Time, sv *service, owned []*upstream) (*upstream, string, demandKey, *demand) {
	for _, over := range []bool{false, true} {
		r := newSlotPicker(now, owned, over)
		if len(r.best) == 0 {
			continue
		}
		org := sv.queue.Pick(r.candidates(sv))
		if org == "" {
			continue
		}
		if k, d := s.chooseEntry(r, sv.demand[org]); d != nil {
			return r.pickUpstream(k.class, d), org, k, d
		}
	}
	return nil, "", demandKey{}, nil
}

func (r slotPicker) candidates(sv *service) []fair.Candidate {
	out := make([]fair.Candidate, 0, len(sv.demand))
	for org, byEntry := range sv.demand {
		fits, short := false, false
		for k, d := range byEntry {
			if d.waiting > 0 && (r.overcommit || r.pickUpstream(k.class, d) != nil) {
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

// chooseEntry finds the entry that is served next for an organisation: the one
// that has waited longest, or this router's own if it has waited nearly as long,
// since a grant to it needs no message.
func (s *State) chooseEntry(r slotPicker, byEntry map[demandKey]*demand) (demandKey, *demand) {
	var best, own *demand
	var bestKey, ownKey demandKey
	for k, d := range byEntry {
		if d.waiting == 0 || r.pickUpstream(k.class, d) == nil {
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

// servedBefore orders the demands of one organisation by age, where short work counts
// as older than it is.
func servedBefore(a *demand, ak demandKey, b *demand, bk demandKey) bool {
	aged, bged := a.effectiveArrival(ak.class), b.effectiveArrival(bk.class)
	if !aged.Equal(bged) {
		return aged.Before(bged)
	}
	return ak.entry < bk.entry || (ak.entry == bk.entry && ak.class < bk.class)
}

func (d *demand) effectiveArrival(class core.Class) time.Time {
	if class == core.ClassShort {
		return d.oldest.Add(-shortAgeBonus)
	}
	return d.oldest
}

// allowedLead is by how much cost an organisation with short work may be ahead of
// others and still go first: so short work does not wait behind long, and the
// gap between organisations grows by no more than that.
func (sv *service) allowedLead(short bool) uint64 {
	if !short {
		return 0
	}
	return maxLeadGrants * uint64(sv.meanLongCost)
}

// observeCost takes the expected cost of a grant to long work.
func (sv *service) observeCost(class core.Class, cost uint64) {
	if class == core.ClassLong {
		sv.meanLongCost += longCostWeight * (float64(cost) - sv.meanLongCost)
	}
}

func betterUpstream(a, b *upstream, now time.Time) bool {
	if a.speed.slow(now) != b.speed.slow(now) {
		return b.speed.slow(now)
	}
	return a.freeSlots(now)*b.slots > b.freeSlots(now)*a.slots
}

func (s *State) grantSlot(now time.Time, sv *service, u *upstream, org string, k demandKey, d *demand) core.Effect {
	s.lastGrant++
	id := s.grantPrefix | s.lastGrant
	key := grantKey{k.entry, id}
	u.grants[key] = &grant{key: key, org: org, class: k.class, grantedAt: now, lastListed: now, expectedRest: d.expectedCost, sampledAt: now}
	s.nextTick = timers.Earliest(s.nextTick, now.Add(unlistedGrantTTL))
	sv.queue.Expect(org, d.expectedCost)
	sv.observeCost(k.class, d.expectedCost)
	// The next in its queue is younger; what waits there is taken to have come
	// evenly since the oldest.
	d.oldest = d.oldest.Add(d.receivedAt.Sub(d.oldest) / time.Duration(d.waiting))
	d.waiting--
	if d.waiting == 0 {
		sv.updateBacklogged(org)
	}
	return core.SendPeer{To: k.entry, Message: &wire.Envelope{Body: &wire.Envelope_Grant{Grant: &wire.Grant{
		Id: uint64(id), Upstream: u.ID, Organisation: org, Class: k.class,
	}}}}
}

// scheduleTick sets the next Tick: when a slot opens by itself, when waiting work
// becomes patient enough for a slow upstream, or when demand may be stale.
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
