package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/claims"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/orders"
	"github.com/jujubeford/jujubeford/internal/placement"
)

// resumeHold is how long a router that was paused neither grants slots nor
// sends requests, so that it first processes the messages about what has
// changed.
const resumeHold = 250 * time.Millisecond

// propagateChanges passes changes of membership and configuration on to the
// other reducers and to the runtime.
func (s *State) propagateChanges(now time.Time) {
	if c := s.members.Changes(); c != s.memberChanges || s.isolated(now) {
		s.memberChanges = c
		s.membersChanged(now)
	}
	if g := s.rollout.Generation(); g != s.generation {
		s.generation = g
		s.members.SetGeneration(g)
	}
	if ready := s.generation > 0 && s.view.Known() && s.drainSince.IsZero(); ready != s.ready {
		s.ready = ready
		s.emit([]core.Effect{core.Ready{Ready: ready}})
	}
}

// isolated reports whether no other router is known to be alive and
// isolatedAfter has passed since the start. This router then owns the upstreams
// of its failure domain itself, since all others may be unreachable.
func (s *State) isolated(now time.Time) bool {
	return len(s.view.Alive()) == 0 && s.drainSince.IsZero() && now.Sub(s.steps.started) >= isolatedAfter
}

func (s *State) membersChanged(now time.Time) {
	alive := s.members.Alive()
	if s.disabled(DeathDetection) {
		alive = s.keepDeadRouters(alive)
	}
	if len(alive) == 0 {
		// A router that drains alone still owns the upstreams that its requests
		// wait for.
		alive = []core.Peer{s.options.Self}
	}
	s.view.SetAlive(alive)
	present := make(map[core.RouterID]bool, len(alive))
	peers := make([]core.RouterID, 0, len(alive))
	for _, p := range alive {
		present[p.ID] = true
		if p.ID != s.options.Self.ID {
			peers = append(peers, p.ID)
		}
	}
	for id := range s.alive {
		if !present[id] && id != s.options.Self.ID {
			s.removeDeadPeer(now, id)
		}
	}
	s.alive = present
	s.quarantine.SetPeers(peers)
	s.viewChanged(now)
}

// removeDeadPeer drops the grants and the demand of a dead router. A leaving
// router keeps its grants until its requests have ended.
func (s *State) removeDeadPeer(now time.Time, id core.RouterID) {
	if p, ok := s.members.Peer(id); ok && p.State == leavingState {
		return
	}
	s.emit(s.owner.RemovePeer(now, id))
}

func (s *State) viewChanged(now time.Time) {
	for service, part := range s.view.Parts() {
		s.owner.SetPart(service, part)
	}
	s.emit(s.owner.SetOwned(now, s.view.Owned()))
	s.entry.HandleViewChange(now)
	s.emit(s.orders.SetView(now, s.isOrderCandidate(), s.view.All()))
}

// isOrderCandidate reports whether this router is the one in its failure domain
// that requests the lease on orders.
func (s *State) isOrderCandidate() bool {
	var near []core.RouterID
	for _, p := range s.view.Alive() {
		if p.Domain == s.options.Self.Domain {
			near = append(near, p.ID)
		}
	}
	key := orders.LeaseKey(s.options.Self.Domain)
	return s.drainSince.IsZero() && placement.Pick(key, near) == s.options.Self.ID
}

func (s *State) startDrain(now time.Time) {
	if !s.drainSince.IsZero() {
		return
	}
	s.drainSince = now
	s.entry.SetDraining()
	s.emit(s.members.Leave(now))
	s.emit(s.orders.SetView(now, false, nil))
}

// exitIfDrained ends the process once a drain has nothing left to wait for.
func (s *State) exitIfDrained(now time.Time) {
	if s.exited || s.drainSince.IsZero() {
		return
	}
	if (s.hasPendingWork() || now.Sub(s.drainSince) < handoverFor) && !s.disabled(DrainWait) {
		return
	}
	s.exited = true
	s.emit([]core.Effect{core.Exit{}})
}

// hasPendingWork reports whether a drain has to wait for requests, or for
// outcomes of finished work that the key-value service has not stored yet.
func (s *State) hasPendingWork() bool {
	return s.entry.Requests() > 0 || s.claims.Pending() > 0 && !s.drainExpired
}

func (s *State) drainWake() time.Time {
	if s.drainSince.IsZero() || s.exited || s.hasPendingWork() {
		return time.Time{}
	}
	return s.drainSince.Add(handoverFor)
}

// entryHooks implements entry.Hooks with the claims, quarantine and health
// reducers.
type entryHooks struct{ s *State }

func (g *entryHooks) Quarantined(now time.Time, org string, fingerprint [32]byte) (time.Time, bool) {
	if g.s.disabled(QuarantineBlock) {
		return time.Time{}, false
	}
	return g.s.quarantine.Blocked(now, org, fingerprint)
}

func (g *entryHooks) BeginClaim(now time.Time, ev core.Arrive) ([]core.Effect, []claims.Decision) {
	return g.s.claims.Begin(now, ev)
}

func (g *entryHooks) ClaimSent(now time.Time, id core.RequestID) { g.s.claims.Sent(now, id) }

func (g *entryHooks) FinishClaim(now time.Time, id core.RequestID, status int, answer []byte) []core.Effect {
	return g.s.claims.Finish(now, id, status, answer)
}

func (g *entryHooks) FailClaim(now time.Time, id core.RequestID, sent bool) []core.Effect {
	return g.s.claims.Failed(now, id, sent)
}

func (g *entryHooks) AbandonClaim(now time.Time, id core.RequestID) []core.Effect {
	return g.s.claims.GiveUp(now, id)
}

func (g *entryHooks) ReportCrash(now time.Time, org string, fingerprint [32]byte, upstream string) []core.Effect {
	return g.s.quarantine.Crash(now, org, fingerprint, upstream)
}

func (g *entryHooks) RecordFirstToken(now time.Time, service, upstream string, latency time.Duration) {
	g.s.health.First(upstream, service, now, latency)
}

func (g *entryHooks) CountFirstSend(service string) { g.s.health.Sent(service) }

func (g *entryHooks) TakeRetry(service string) bool { return g.s.health.Retry(service) }

func (g *entryHooks) HedgeDelay(service string) (time.Duration, bool) {
	return g.s.health.HedgeAfter(service)
}

func (g *entryHooks) TakeHedge(service string) bool { return g.s.health.Hedge(service) }
