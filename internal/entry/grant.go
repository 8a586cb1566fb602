package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/internal/claims"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// progressEvery is the interval of progress reports to an owner of several
	// held grants. An owner of a single one gets every singleGrantInterval-th
	// report only.
	progressEvery       = time.Second
	singleGrantInterval = 4
)

// HandleGrant assigns a granted slot to the request that has waited longest, or
// returns it if no request waits for it any more or its upstream is leaving.
func (s *State) HandleGrant(now time.Time, from core.RouterID, g *wire.Grant) []core.Effect {
	u, known := s.view.Upstream(g.Upstream)
	if !known {
		s.outbox.addSettled(from, &wire.Settled{Id: g.Id, Unused: true})
		return nil
	}
	q := s.queue(queueKey{u.Service, g.Organisation, g.Class})
	q.recordGrant(now, from)
	if now.Before(s.returnGrantsUntil) || u.State != core.UpstreamUp {
		s.returnGrant(now, q, from, core.GrantID(g.Id))
		return nil
	}
	r, refused := s.takeUnblocked(now, q, g.Upstream)
	if r == nil {
		s.returnGrant(now, q, from, core.GrantID(g.Id))
		return refused
	}
	slot := slotKey{g.Upstream, core.GrantID(g.Id)}
	if len(s.heldSlots) == 0 {
		s.nextProgress = now.Add(progressEvery)
	}
	s.heldSlots[slot] = &heldSlot{owner: from, service: u.Service, grant: g}
	granted := core.Record{Request: r.Request, Event: "granted", Upstream: g.Upstream, Owner: from, Grant: slot.id}
	if r.AtMostOnce {
		return append(append(refused, granted), s.beginClaim(now, r, slot)...)
	}
	return append(append(refused, granted), s.startAttempt(now, r, slot)...)
}

// ReturnGrantsUntil makes the entry return granted slots unused until the given
// time.
func (s *State) ReturnGrantsUntil(until time.Time) { s.returnGrantsUntil = until }

// takeUnblocked removes the oldest request that may go to an upstream, and
// refuses those that were quarantined while they waited.
func (s *State) takeUnblocked(now time.Time, q *queue, upstream string) (*request, []core.Effect) {
	var refused []core.Effect
	for {
		r := q.takeFor(now, upstream)
		if r == nil {
			return nil, refused
		}
		until, blocked := s.hooks.Quarantined(now, r.Organisation, r.Fingerprint)
		switch {
		case !blocked:
			return r, refused
		case r.wantsSecondSlot:
			r.wantsSecondSlot = false
		default:
			refused = append(refused, s.refuseQuarantined(r, until.Sub(now))...)
		}
	}
}

func (s *State) refuseQuarantined(r *request, retryAfter time.Duration) []core.Effect {
	return s.refuse(r, http.StatusUnprocessableEntity, core.ReasonQuarantined, retryAfter)
}

// returnGrant returns an unused grant. The owner then drops its demand for that
// queue, so waiting requests are announced again later.
func (s *State) returnGrant(now time.Time, q *queue, owner core.RouterID, id core.GrantID) {
	s.outbox.addSettled(owner, &wire.Settled{Id: uint64(id), Unused: true})
	if a := q.announced[owner]; a != nil {
		a.count, a.at = 0, now
	}
}

// beginClaim requests the claim for a request that holds a slot. The request is
// sent once the claim is decided.
func (s *State) beginClaim(now time.Time, r *request, slot slotKey) []core.Effect {
	r.state = stateClaiming
	r.claimSlot = slot
	effects, decisions := s.hooks.BeginClaim(now, r.RequestArrived)
	effects = append(effects, core.Record{Request: r.Request, Event: "claiming", Upstream: slot.upstream})
	for _, d := range decisions {
		effects = append(effects, s.HandleClaimDecision(now, d)...)
	}
	return effects
}

// HandleClaimDecision carries out the claims reducer's decision on a request.
func (s *State) HandleClaimDecision(now time.Time, d claims.Decision) []core.Effect {
	r := s.requests[d.Request]
	if r == nil || r.state != stateClaiming {
		return s.hooks.AbandonClaim(now, d.Request)
	}
	if d.Kind == claims.Proceed {
		return s.startAttempt(now, r, r.claimSlot)
	}
	s.returnHeldSlot(now, r, r.claimSlot)
	if d.Kind == claims.Replay {
		return append([]core.Effect{core.Replay{Request: r.Request, Answer: d.Answer}}, s.endRequest(r, "replayed")...)
	}
	return append([]core.Effect{core.Refuse{
		Request: r.Request, Status: d.Status, Outcome: d.Outcome, Reason: d.Reason, RetryAfter: d.RetryAfter,
	}}, s.endRequest(r, d.Reason)...)
}

// returnHeldSlot returns a held slot that was not used, and announces the queue
// again.
func (s *State) returnHeldSlot(now time.Time, r *request, slot slotKey) {
	h := s.heldSlots[slot]
	if h == nil {
		return
	}
	delete(s.heldSlots, slot)
	k := r.key()
	s.returnGrant(now, s.queue(k), h.owner, slot.id)
	s.announce(now, k)
}

// startAttempt issues the only Send effect of a new attempt. Work whose upstream left while
// its claim was decided waits for another slot.
func (s *State) startAttempt(now time.Time, r *request, slot slotKey) []core.Effect {
	u, ok := s.view.Upstream(slot.upstream)
	if !ok || r.AtMostOnce && u.State != core.UpstreamUp {
		s.returnHeldSlot(now, r, slot)
		s.enqueue(now, r, true)
		return nil
	}
	a := &attempt{number: core.Attempt(len(r.attempts) + 1), slot: slot, sentAt: now, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	r.state = stateSent
	if r.AtMostOnce {
		s.hooks.ClaimSent(now, r.Request)
	}
	if r.committed != nil {
		return s.continueStream(now, r, a, u)
	}
	if r.wantsSecondSlot {
		r.wantsSecondSlot = false
		return []core.Effect{
			s.sendEffect(r, a, u, false),
			core.Record{Request: r.Request, Event: "hedged", Upstream: u.ID, Detail: "No token came in time; sent a second time."},
			core.Observe{Metric: core.MetricHedged, Service: r.Service, Organisation: r.Organisation, Value: 1},
		}
	}
	if len(r.attempts) == 1 {
		s.hooks.RecordFirstSend(r.Service)
	}
	s.scheduleHedge(now, r)
	waited := now.Sub(r.arrived)
	return []core.Effect{
		s.sendEffect(r, a, u, false),
		core.Record{Request: r.Request, Event: "sent", Upstream: u.ID, Detail: fmt.Sprintf("Sent after waiting %s.", waited)},
		core.Observe{Metric: core.MetricQueueTime, Service: r.Service, Organisation: r.Organisation, Value: waited.Seconds()},
	}
}

func (s *State) sendEffect(r *request, a *attempt, u core.Upstream, resume bool) core.Send {
	return core.Send{
		Request: r.Request, Attempt: a.number, Upstream: u.ID, Addr: u.Addr,
		SilentAfter: s.services[r.Service].SilentAfter, Resume: resume,
	}
}

// releaseSlot releases the slot of a finished attempt with its cost.
func (s *State) releaseSlot(a *attempt, cost uint64) {
	a.finished = true
	h := s.heldSlots[a.slot]
	if h == nil {
		return
	}
	delete(s.heldSlots, a.slot)
	s.outbox.addSettled(h.owner, &wire.Settled{Id: uint64(a.slot.id), Cost: cost})
}

// reportProgress sends each owner the list of its grants that are held here.
func (s *State) reportProgress(now time.Time) {
	if len(s.heldSlots) == 0 || now.Before(s.nextProgress) {
		return
	}
	s.nextProgress = now.Add(progressEvery)
	s.progressReports++
	grants := make(map[core.RouterID]int)
	for _, h := range s.heldSlots {
		grants[h.owner]++
	}
	for owner, n := range grants {
		if n > 1 || s.progressReports%singleGrantInterval == 0 {
			s.outbox.setProgress(owner, s.heldByOwner(owner, false), false)
		}
	}
}

// heldByOwner lists the held slots that an owner granted. A full list has what
// a new owner needs to adopt them.
func (s *State) heldByOwner(owner core.RouterID, full bool) []*wire.Held {
	var out []*wire.Held
	for key, h := range s.heldSlots {
		if h.owner != owner {
			continue
		}
		m := &wire.Held{Id: uint64(key.id), Cost: h.cost}
		if full {
			m.Upstream, m.Service, m.Organisation, m.Class = key.upstream, h.service, h.grant.Organisation, h.grant.Class
		}
		out = append(out, m)
	}
	return out
}
