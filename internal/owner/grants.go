package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// HandleRelease frees slots and settles their cost.
func (s *State) HandleRelease(now time.Time, from core.RouterID, m *wire.Release) []core.Effect {
	touched := make(map[string]bool)
	for _, r := range m.Settled {
		u, g := s.findGrant(from, core.GrantID(r.Id))
		if g == nil {
			continue
		}
		touched[u.Service] = true
		s.settleGrant(now, u, g, r)
	}
	var effects []core.Effect
	for _, name := range sorted(touched) {
		effects = append(effects, s.grantService(now, s.services[name])...)
	}
	return effects
}

// settleGrant ends a grant: it charges the final cost and takes back the
// expected cost that was not incurred. If the slot was not used it charges
// nothing and removes the queue's demand.
func (s *State) settleGrant(now time.Time, u *upstream, g *grant, r *wire.Settled) {
	sv := s.service(u.Service)
	delete(u.grants, g.key)
	if r.Unused {
		sv.queue.ReleasePending(g.org, g.expectedRest)
		sv.clearDemand(g.org, demandKey{g.key.entry, g.class})
		return
	}
	s.chargeGrant(g, sv, r.Cost)
	sv.queue.ReleasePending(g.org, g.expectedRest)
	u.speed.observeFinish(now, g, r.Cost)
	u.recordSuccess()
}

// chargeGrant raises a grant's charged cost to an absolute value. A lower value
// is ignored.
func (s *State) chargeGrant(g *grant, sv *service, cost uint64) {
	if cost <= g.charged {
		return
	}
	g.expectedRest = sv.queue.Charge(g.org, cost-g.charged, g.expectedRest)
	g.charged = cost
}

// HandleProgress processes an entry's list of the grants that it holds. A grant
// older than lostReleaseAfter that the list lacks counts as released, since the
// release message was lost. A listed grant that is not known here was made by
// the previous owner and is adopted.
func (s *State) HandleProgress(now time.Time, from core.RouterID, m *wire.Progress) []core.Effect {
	listed := make(map[grantKey]bool, len(m.Held))
	for _, h := range m.Held {
		key := grantKey{from, core.GrantID(h.Id)}
		listed[key] = true
		u, g := s.findGrant(from, key.id)
		if g == nil {
			u, g = s.adoptGrant(now, key, h)
		}
		if g == nil {
			continue
		}
		g.lastListed = now
		u.speed.observeProgress(now, g, h.Cost)
		s.chargeGrant(g, s.service(u.Service), h.Cost)
	}
	for _, u := range s.upstreams {
		s.dropGrants(u, func(g *grant) bool {
			return g.key.entry == from && !listed[g.key] && now.Sub(g.grantedAt) > lostReleaseAfter
		})
	}
	return s.grantAll(now)
}

// adoptGrant records a grant that an entry holds from a previous owner of the
// upstream.
func (s *State) adoptGrant(now time.Time, key grantKey, h *wire.Held) (*upstream, *grant) {
	u := s.upstreams[h.Upstream]
	if u == nil {
		return nil, nil
	}
	g := &grant{
		key: key, org: h.Organisation, class: h.Class, grantedAt: now, lastListed: now,
		charged: h.Cost, sampledCost: h.Cost, sampledAt: now,
	}
	u.grants[key] = g
	return u, g
}

func (s *State) findGrant(entry core.RouterID, id core.GrantID) (*upstream, *grant) {
	for _, u := range s.upstreams {
		if g := u.grants[grantKey{entry, id}]; g != nil {
			return u, g
		}
	}
	return nil, nil
}

// dropGrants removes the grants of an upstream for which drop returns true, and
// takes back the rest of their expected cost.
func (s *State) dropGrants(u *upstream, drop func(*grant) bool) {
	q := s.service(u.Service).queue
	for key, g := range u.grants {
		if drop(g) {
			q.ReleasePending(g.org, g.expectedRest)
			delete(u.grants, key)
		}
	}
}
