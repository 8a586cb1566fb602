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
	if c := s.members.AliveVersion(); c != s.memberChanges || s.isolated(now) {
		s.memberChanges = c
		s.membersChanged(now)
	}
	if g := s.rollout.Generation(); g != s.generation {
		s.generation = g
		s.members.SetGeneration(g)
	}
	if ready := s.generation > 0 && s.view.HasUpstreams() && s.drainSince.IsZero(); ready != s.ready {
		s.ready = ready
		s.emit([]core.Effect{core.Ready{Ready: ready}})
	}
}

// isolated reports whether a router that is not draining has found no other
// router within isolatedAfter of its start. It must then own all upstreams,
// since all other routers may be unreachable.
func (s *State) isolated(now time.Time) bool {
	return len(s.view.Alive()) == 0 && s.drainSince.IsZero() && now.Sub(s.steps.started) >= isolatedAfter
}

// membersChanged applies the set of live routers to the view and to the other
// reducers.
func (s *State) membersChanged(now time.Time) {
	alive := s.members.Alive()
	if s.disabled(FailureDetection) {
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

// viewChanged passes changes of ownership on to the owner, the entry and the
// orders reducer.
func (s *State) viewChanged(now time.Time) {
	for service, fraction := range s.view.OwnedFractions() {
		s.owner.SetLocalFraction(service, fraction)
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

// startDrain makes the entry refuse new requests, announces that this router is
// leaving, and gives up the lease on orders.
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
	return s.entry.Requests() > 0 || s.claims.PendingOutcomes() > 0 && !s.drainExpired
}

// drainWake returns when a drain without pending work may end; zero if there is
// none.
func (s *State) drainWake() time.Time {
	if s.drainSince.IsZero() || s.exited || s.hasPendingWork() {
		return time.Time{}
	}
	return s.drainSince.Add(handoverFor)
}

// entryHooks implements entry.Hooks with the claims, quarantine and health
// reducers.
type entryHooks struct{ s *State }

func (h *entryHooks) Quarantined(now time.Time, org string, fingerprint [32]byte) (time.Time, bool) {
	if h.s.disabled(QuarantineBlock) {
		return time.Time{}, false
	}
	return h.s.quarantine.Blocked(now, org, fingerprint)
}

func (h *entryHooks) BeginClaim(now time.Time, ev core.RequestArrived) ([]core.Effect, []claims.Decision) {
	return h.s.claims.Begin(now, ev)
}

func (h *entryHooks) ClaimSent(now time.Time, id core.RequestID) { h.s.claims.MarkSent(now, id) }

func (h *entryHooks) FinishClaim(now time.Time, id core.RequestID, status int, answer []byte) []core.Effect {
	return h.s.claims.Finish(now, id, status, answer)
}

func (h *entryHooks) FailClaim(now time.Time, id core.RequestID, sent bool) []core.Effect {
	return h.s.claims.RecordFailure(now, id, sent)
}

func (h *entryHooks) AbandonClaim(now time.Time, id core.RequestID) []core.Effect {
	return h.s.claims.GiveUp(now, id)
}

func (h *entryHooks) ReportCrash(now time.Time, org string, fingerprint [32]byte, upstream string) []core.Effect {
	return h.s.quarantine.RecordCrash(now, org, fingerprint, upstream)
}

func (h *entryHooks) ReportSuccess(now time.Time, org string, fingerprint [32]byte) []core.Effect {
	return h.s.quarantine.RecordSuccess(now, org, fingerprint)
}

func (h *entryHooks) RecordFirstByte(now time.Time, service, upstream string, latency time.Duration) {
	h.s.health.RecordFirstByte(upstream, service, now, latency)
}

func (h *entryHooks) RecordFirstSend(service string) { h.s.health.RecordFirstSend(service) }

func (h *entryHooks) TakeRetry(service string) bool { return h.s.health.TakeRetry(service) }

func (h *entryHooks) HedgeDelay(service string) (time.Duration, bool) {
	return h.s.health.HedgeAfter(service)
}

func (h *entryHooks) TakeHedge(service string) bool { return h.s.health.TakeHedge(service) }
