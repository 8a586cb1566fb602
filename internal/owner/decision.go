package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// maxDecisions is the number of latest grants that are kept, each with the
	// alternatives that were considered.
	maxDecisions = 1024
	// maxStandings limits the waiting organisations recorded with a decision to
	// those that were next in order.
	maxStandings = 6
	// maxConsidered limits the upstreams recorded with a decision.
	maxConsidered = 8
)

// Decision records a grant and the alternatives that were considered.
type Decision struct {
	// AgeMS is the age of the decision in milliseconds.
	AgeMS   int64        `json:"ago_ms"`
	Grant   core.GrantID `json:"grant"`
	Service string       `json:"service"`
	// Standings are the organisations that waited, ordered by the service
	// received for their share, least first; at most maxStandings.
	Standings []Standing `json:"standings"`
	// Waiting is the number of organisations that waited.
	Waiting int `json:"waiting"`
	// Considered are the upstreams of the service that the owner had, at most
	// maxConsidered.
	Considered []ConsideredUpstream `json:"weighed"`
	// Upstream is the upstream that was granted to Organisation at the router
	// Entry.
	Upstream     string        `json:"upstream"`
	Organisation string        `json:"organisation"`
	Entry        core.RouterID `json:"entry"`

	decidedAt time.Time
}

// Standing is the position of an organisation at the time of a decision.
type Standing struct {
	Organisation string `json:"organisation"`
	// VirtualTime is its virtual time as the owner computes it: the service
	// received divided by the share.
	VirtualTime float64 `json:"virtual"`
	Waiting     uint32  `json:"waiting"`
}

// ConsideredUpstream is the state of an upstream at the time of a decision.
type ConsideredUpstream struct {
	Upstream string  `json:"upstream"`
	Free     int     `json:"free"`
	Speed    float64 `json:"speed"`
	Slow     bool    `json:"slow,omitempty"`
	Paused   bool    `json:"paused,omitempty"`
	Leaving  bool    `json:"leaving,omitempty"`
}

// ServedOrganisation is an organisation that was granted slots of a service while
// another one waited.
type ServedOrganisation struct {
	Organisation string `json:"organisation"`
	Grants       int    `json:"grants"`
	// Lead is the largest difference by which the organisation had received
	// less service for its share than the waiting one, in the service's unit
	// for a share of 1; nil if no decision recorded the standing of both.
	Lead *float64 `json:"lead,omitempty"`
}

// ExplainRequest asks for an owner's decisions during the wait of a request.
type ExplainRequest struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// FromMS and ToMS are the start and the end of the wait. They are ages in
	// milliseconds, so that the routers' clocks need not agree.
	FromMS int64 `json:"from_ms"`
	ToMS   int64 `json:"to_ms"`
	// Grants are the IDs of the grants to the request.
	Grants []core.GrantID `json:"grants"`
}

// ExplainReply holds an owner's decisions during the wait.
type ExplainReply struct {
	// Granted are the decisions that granted a slot to the request.
	Granted []Decision `json:"granted"`
	// ServedMeanwhile are the organisations that were granted slots during the
	// wait, most grants first.
	ServedMeanwhile []ServedOrganisation `json:"ahead"`
	// SinceMS is the age of the oldest decision that is still kept, in
	// milliseconds. Earlier decisions are not known.
	SinceMS int64 `json:"since_ms"`
	// Full means that older decisions were dropped.
	Full bool `json:"full"`
}

// decisionLog keeps the latest grants in a ring buffer.
type decisionLog struct {
	ring []Decision
	next int
}

func (d *decisionLog) add(decision Decision) {
	if len(d.ring) < maxDecisions {
		d.ring = append(d.ring, decision)
		return
	}
	d.ring[d.next] = decision
	d.next = (d.next + 1) % maxDecisions
}

// recordDecision records the next grant and its alternatives. It must be called
// before the grant is made.
func (s *State) recordDecision(now time.Time, sv *service, owned []*upstream, u *upstream, org string, entry core.RouterID) {
	decision := Decision{
		Grant: s.grantPrefix | (s.lastGrant + 1), Service: sv.name, Upstream: u.ID, Organisation: org, Entry: entry, decidedAt: now,
	}
	decision.Standings, decision.Waiting = sv.standings()
	for _, candidate := range owned[:min(len(owned), maxConsidered)] {
		decision.Considered = append(decision.Considered, ConsideredUpstream{
			Upstream: candidate.ID, Free: candidate.freeSlots(now), Speed: candidate.speed.current, Slow: candidate.speed.slow(now),
			Paused: now.Before(candidate.pausedUntil), Leaving: now.Before(candidate.leavingUntil),
		})
	}
	s.decisions.add(decision)
}

// standings returns the organisations that are next in order, and the number of
// those that wait.
func (sv *service) standings() ([]Standing, int) {
	out := make([]Standing, 0, maxStandings+1)
	waiting := 0
	for org, byEntry := range sv.demand {
		st := Standing{Organisation: org, VirtualTime: sv.queue.VirtualTime(org)}
		for _, d := range byEntry {
			st.Waiting += d.waiting
		}
		if st.Waiting == 0 {
			continue
		}
		waiting++
		at, _ := slices.BinarySearchFunc(out, st, compareStandings)
		out = slices.Insert(out, at, st)
		out = out[:min(len(out), maxStandings)]
	}
	return slices.Clip(out), waiting
}

func compareStandings(a, b Standing) int {
	return cmp.Or(cmp.Compare(a.VirtualTime, b.VirtualTime), cmp.Compare(a.Organisation, b.Organisation))
}

// Explain returns the decisions made here while a request waited.
func (s *State) Explain(now time.Time, q ExplainRequest) ExplainReply {
	reply := ExplainReply{Full: len(s.decisions.ring) == maxDecisions}
	from, to := now.Add(-time.Duration(q.FromMS)*time.Millisecond), now.Add(-time.Duration(q.ToMS)*time.Millisecond)
	served := make(map[string]*ServedOrganisation)
	for i := range s.decisions.ring {
		decision := s.decisions.ring[(s.decisions.next+i)%len(s.decisions.ring)]
		decision.AgeMS = now.Sub(decision.decidedAt).Milliseconds()
		if i == 0 {
			reply.SinceMS = decision.AgeMS
		}
		if slices.Contains(q.Grants, decision.Grant) {
			reply.Granted = append(reply.Granted, decision)
			continue
		}
		if decision.Service == q.Service && !decision.decidedAt.Before(from) && !decision.decidedAt.After(to) {
			decision.countServed(served, q.Organisation)
		}
	}
	for _, org := range sorted(served) {
		reply.ServedMeanwhile = append(reply.ServedMeanwhile, *served[org])
	}
	slices.SortStableFunc(reply.ServedMeanwhile, func(a, b ServedOrganisation) int { return cmp.Compare(b.Grants, a.Grants) })
	return reply
}

// countServed counts a grant that another request received during the wait.
func (d *Decision) countServed(served map[string]*ServedOrganisation, waiting string) {
	a := served[d.Organisation]
	if a == nil {
		a = &ServedOrganisation{Organisation: d.Organisation}
		served[d.Organisation] = a
	}
	a.Grants++
	waitingVirtual, waitingFound := d.standing(waiting)
	servedVirtual, servedFound := d.standing(d.Organisation)
	if !waitingFound || !servedFound {
		return
	}
	if lead := waitingVirtual - servedVirtual; a.Lead == nil || lead > *a.Lead {
		a.Lead = &lead
	}
}

func (d *Decision) standing(org string) (float64, bool) {
	i := slices.IndexFunc(d.Standings, func(s Standing) bool { return s.Organisation == org })
	if i < 0 {
		return 0, false
	}
	return d.Standings[i].VirtualTime, true
}
