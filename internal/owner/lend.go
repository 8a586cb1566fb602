package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// slowPatience is how long a request waits for a faster upstream before a slow
// one is lent to it.
const slowPatience = 150 * time.Millisecond

func (s *State) lendAll(now time.Time) []core.Effect {
	var effects []core.Effect
	for _, name := range sorted(s.services) {
		effects = append(effects, s.lend(now, s.services[name])...)
	}
	return effects
}

// lend grants free slots of a service while demand fits one.
func (s *State) lend(now time.Time, sv *service) []core.Effect {
	var effects []core.Effect
	owned := s.owned(sv.name)
	for {
		u, org, k, d := s.choose(now, sv, owned)
		if u == nil {
			break
		}
		s.note(now, sv, owned, u, org, k.entry)
		effects = append(effects, s.grant(now, sv, u, org, k, d))
	}
	s.schedule(now, sv, owned)
	return effects
}

func (s *State) owned(service string) []*upstream {
	var out []*upstream
	for _, id := range sorted(s.upstreams) {
		if u := s.upstreams[id]; u.Service == service {
			out = append(out, u)
		}
	}
	return out
}

// choose finds the next slot to lend: the organisation first, then its entry,
// then the upstream.
func (s *State) choose(now time.Time, sv *service, owned []*upstream) (*upstream, string, entryClass, *demand) {
	shortWaits := sv.shortWaits()
	orgs := make([]string, 0, len(sv.demand))
	for org, byEntry := range sv.demand {
		for k, d := range byEntry {
			if d.waiting > 0 && pick(now, owned, k.class, d, shortWaits) != nil {
				orgs = append(orgs, org)
				break
			}
		}
	}
	org := sv.queue.Pick(orgs)
	if org == "" {
		return nil, "", entryClass{}, nil
	}
	var best *demand
	var bestKey entryClass
	for k, d := range sv.demand[org] {
		if d.waiting == 0 || pick(now, owned, k.class, d, shortWaits) == nil {
			continue
		}
		if best == nil || before(d, k, best, bestKey) {
			best, bestKey = d, k
		}
	}
	return pick(now, owned, bestKey.class, best, shortWaits), org, bestKey, best
}

// before orders the demands of one organisation: short work first, then by age.
func before(a *demand, ak entryClass, b *demand, bk entryClass) bool {
	if (ak.class == core.ClassShort) != (bk.class == core.ClassShort) {
		return ak.class == core.ClassShort
	}
	if !a.oldest.Equal(b.oldest) {
		return a.oldest.Before(b.oldest)
	}
	return ak.entry < bk.entry
}

// pick returns the upstream to lend for a demand, nil if none fits. Long work
// does not take the reserved slots while short work waits; a slow upstream is
// lent only to what has waited a while for a faster one.
func pick(now time.Time, owned []*upstream, class core.Class, d *demand, shortWaits bool) *upstream {
	var best *upstream
	for _, u := range owned {
		free := u.free(now)
		if free == 0 {
			continue
		}
		if class == core.ClassLong && shortWaits && u.long() >= u.slots-u.slots/reservedFraction {
			continue
		}
		if u.speed.slow(now) && now.Sub(d.oldest) < slowPatience {
			continue
		}
		if u.ID == d.prefer {
			return u
		}
		if best == nil || better(u, best, now) {
			best = u
		}
	}
	return best
}

func better(a, b *upstream, now time.Time) bool {
	if a.speed.slow(now) != b.speed.slow(now) {
		return b.speed.slow(now)
	}
	return a.free(now)*b.slots > b.free(now)*a.slots
}

func (s *State) grant(now time.Time, sv *service, u *upstream, org string, k entryClass, d *demand) core.Effect {
	s.last++
	id := s.prefix | s.last
	key := grantKey{k.entry, id}
	u.grants[key] = &grant{key: key, org: org, class: k.class, at: now, heard: now, rest: d.cost, markedAt: now}
	s.next = timers.Earliest(s.next, now.Add(unheardAfter))
	sv.queue.Expect(org, d.cost)
	d.waiting--
	if d.waiting == 0 {
		sv.refresh(org)
	}
	return core.SendPeer{To: k.entry, Message: &wire.Envelope{Body: &wire.Envelope_Grant{Grant: &wire.Grant{
		Id: uint64(id), Upstream: u.ID, Organisation: org, Class: k.class,
	}}}}
}

func (sv *service) shortWaits() bool {
	for _, byEntry := range sv.demand {
		for k, d := range byEntry {
			if k.class == core.ClassShort && d.waiting > 0 {
				return true
			}
		}
	}
	return false
}

// schedule sets the next Tick: when a slot opens by itself, when waiting work
// becomes patient enough for a slow upstream, or when demand may be stale.
func (s *State) schedule(now time.Time, sv *service, owned []*upstream) {
	if len(sv.demand) == 0 {
		return
	}
	s.next = timers.Earliest(s.next, now.Add(demandAge))
	slow := false
	for _, u := range owned {
		s.next = timers.Earliest(s.next, u.opens(now))
		slow = slow || (u.speed.slow(now) && u.free(now) > 0)
	}
	if slow {
		s.next = timers.Earliest(s.next, now.Add(slowPatience/4))
	}
}
