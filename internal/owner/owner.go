// Package owner lends the slots of the upstreams that this router owns. Entries
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
	"github.com/jujubeford/jujubeford/internal/fair"
	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// carefulFor is how long a new owner lends only half of the slots, while
	// entries tell it what they already hold.
	carefulFor = 500 * time.Millisecond
	// demandAge is how long an entry's demand counts without being repeated.
	demandAge = 15 * time.Second
	// reservedFraction of the slots may be lent to short work over the slots,
	// where long work holds them.
	reservedFraction = 4
	// lostAfter is the age at which a grant that its entry does not list any
	// more counts as given back.
	lostAfter = 2 * time.Second
	// unheardAfter is how long a grant counts that its entry does not list.
	// Entries list what they hold each second, and nothing once they hold nothing.
	unheardAfter = 5 * time.Second
)

// State holds the slots of the owned upstreams and the demand for them.
type State struct {
	self      core.RouterID
	prefix    core.GrantID
	last      core.GrantID
	services  map[string]*service
	upstreams map[string]*upstream
	next      time.Time
	// turn is the entry that was last asked for work.
	turn int
	// slices divides the slots of each upstream, at least 1.
	slices int
	// hold is until when nothing is lent.
	hold time.Time
	// trusting keeps grants that no entry lists; it is for tests only.
	trusting bool
	// decisions are the latest grants, for operators.
	decisions decisions
}

// service is what waits for one service and how it is shared.
type service struct {
	name    string
	slots   int
	batches bool
	queue   *fair.Queue
	// longCost is the mean expected cost of long work.
	longCost float64
	demand   map[string]map[entryClass]*demand // by organisation
}

type entryClass struct {
	entry core.RouterID
	class core.Class
}

type demand struct {
	waiting uint32
	oldest  time.Time
	prefer  string
	cost    uint64
	at      time.Time
}

// New returns a state that owns nothing. The prefix tells this incarnation's
// grants from those of others.
func New(self core.RouterID, prefix uint16) *State {
	return &State{
		self:      self,
		prefix:    core.GrantID(prefix) << 32,
		services:  make(map[string]*service),
		upstreams: make(map[string]*upstream),
		slices:    1,
	}
}

// Slice makes this owner lend only its fixed slice of each upstream's slots.
func (s *State) Slice(routers int) { s.slices = routers }

// TrustGrants switches off what frees grants whose release got lost; it is for
// tests only, which show that their checks notice it.
func (s *State) TrustGrants() { s.trusting = true }

// Configure takes shares and slots from a configuration.
func (s *State) Configure(now time.Time, c *config.Config) []core.Effect {
	for _, sc := range c.Services {
		sv := s.service(sc.Name)
		sv.slots = max(1, sc.Slots/s.slices)
		sv.batches = sc.Kind == config.Model
		for _, org := range c.Organisations {
			sv.queue.SetShare(org.Name, org.Share)
		}
	}
	for _, u := range s.upstreams {
		sv := s.service(u.Service)
		u.slots, u.batches = sv.slots, sv.batches
	}
	return s.lendAll(now)
}

// SetOwned replaces the set of owned upstreams. A new one is lent carefully at
// first; one that moved to another owner is forgotten with its grants.
func (s *State) SetOwned(now time.Time, owned []core.Upstream) []core.Effect {
	keep := make(map[string]bool, len(owned))
	for _, u := range owned {
		keep[u.ID] = true
		have := s.upstreams[u.ID]
		if have == nil {
			have = newUpstream(u, s.service(u.Service))
			have.careful = now.Add(carefulFor)
			s.upstreams[u.ID] = have
		}
		have.list(now, u)
	}
	for id, u := range s.upstreams {
		if !keep[id] {
			s.dropGrants(u, func(*grant) bool { return true })
			delete(s.upstreams, id)
		}
	}
	return s.lendAll(now)
}

// Demand takes an entry's word on what waits there.
func (s *State) Demand(now time.Time, from core.RouterID, m *wire.Demand) []core.Effect {
	var effects []core.Effect
	touched := make(map[string]bool)
	for _, d := range m.Services {
		sv := s.service(d.Service)
		for _, q := range d.Queues {
			sv.wait(now, from, q)
		}
		touched[d.Service] = true
	}
	for _, name := range sorted(touched) {
		effects = append(effects, s.lend(now, s.services[name])...)
	}
	return effects
}

// Release takes slots back and settles their cost.
func (s *State) Release(now time.Time, from core.RouterID, m *wire.Release) []core.Effect {
	touched := make(map[string]bool)
	for _, r := range m.Settled {
		u, g := s.find(from, core.GrantID(r.Id))
		if g == nil {
			continue
		}
		touched[u.Service] = true
		s.settle(now, u, g, r)
	}
	var effects []core.Effect
	for _, name := range sorted(touched) {
		effects = append(effects, s.lend(now, s.services[name])...)
	}
	return effects
}

func (s *State) settle(now time.Time, u *upstream, g *grant, r *wire.Settled) {
	sv := s.service(u.Service)
	delete(u.grants, g.key)
	if r.Unused {
		sv.queue.Settle(g.org, g.rest)
		sv.clear(g.org, entryClass{g.key.entry, g.class})
		return
	}
	s.charge(g, sv, r.Cost)
	sv.queue.Settle(g.org, g.rest)
	u.speed.finished(now, g, r.Cost)
	u.succeeded()
}

// charge raises a grant's cost to an absolute figure; it never falls.
func (s *State) charge(g *grant, sv *service, cost uint64) {
	if cost <= g.cost {
		return
	}
	g.rest = sv.queue.Charge(g.org, cost-g.cost, g.rest)
	g.cost = cost
}

// Progress takes an entry's list of the grants it holds. A grant that the list
// lacks was given back in a message that got lost; one that is not known here
// was lent by an earlier owner and is taken over.
func (s *State) Progress(now time.Time, from core.RouterID, m *wire.Progress) []core.Effect {
	listed := make(map[grantKey]bool, len(m.Held))
	for _, h := range m.Held {
		key := grantKey{from, core.GrantID(h.Id)}
		listed[key] = true
		u, g := s.find(from, key.id)
		if g == nil {
			u, g = s.adopt(now, key, h)
		}
		if g == nil {
			continue
		}
		g.heard = now
		u.speed.progressed(now, g, h.Cost)
		s.charge(g, s.service(u.Service), h.Cost)
	}
	for _, u := range s.upstreams {
		s.dropGrants(u, func(g *grant) bool {
			return g.key.entry == from && !listed[g.key] && now.Sub(g.at) > lostAfter
		})
	}
	return s.lendAll(now)
}

func (s *State) adopt(now time.Time, key grantKey, h *wire.Held) (*upstream, *grant) {
	u := s.upstreams[h.Upstream]
	if u == nil {
		return nil, nil
	}
	g := &grant{
		key: key, org: h.Organisation, class: h.Class, at: now, heard: now,
		cost: h.Cost, marked: h.Cost, markedAt: now,
	}
	u.grants[key] = g
	return u, g
}

// PeerGone forgets an entry that is dead or has left, with its grants.
func (s *State) PeerGone(now time.Time, id core.RouterID) []core.Effect {
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
			sv.refresh(org)
		}
	}
	return s.lendAll(now)
}

// Notice takes what an entry observed of an upstream.
func (s *State) Notice(now time.Time, id string, state wire.UpstreamState) []core.Effect {
	u := s.upstreams[id]
	if u == nil {
		return nil
	}
	switch state {
	case wire.UpstreamState_UPSTREAM_LEAVING:
		u.leave(now)
	case wire.UpstreamState_UPSTREAM_CRASHED:
		u.failed(now)
	case wire.UpstreamState_UPSTREAM_OK:
		u.succeeded()
	}
	return s.lend(now, s.service(u.Service))
}

// Tick drops stale demand and lends what time has freed.
func (s *State) Tick(now time.Time) []core.Effect {
	if now.Before(s.next) {
		return nil
	}
	s.next = time.Time{}
	for _, sv := range s.services {
		sv.expire(now)
	}
	for _, u := range s.upstreams {
		s.dropGrants(u, func(g *grant) bool { return now.Sub(g.heard) > unheardAfter && !s.trusting })
		if len(u.grants) > 0 {
			s.next = timers.Earliest(s.next, now.Add(unheardAfter/2))
		}
	}
	return s.lendAll(now)
}

// Wake is when Tick is next due; zero if never.
func (s *State) Wake() time.Time { return s.next }

// Report returns the counters of the organisations that wait here or were served
// here since the last report.
func (s *State) Report() []*wire.Counter {
	var out []*wire.Counter
	for _, name := range sorted(s.services) {
		for _, a := range s.services[name].queue.Report() {
			out = append(out, &wire.Counter{
				Service: name, Organisation: a.Organisation, Served: a.Own, Backlogged: a.Backlogged,
			})
		}
	}
	return out
}

// Own is the service charged here, which never falls.
func (s *State) Own(service, org string) uint64 { return s.service(service).queue.Own(org) }

// SetPart sets the fraction of a service's slots in the fleet that is lent here.
func (s *State) SetPart(service string, part float64) { s.service(service).queue.SetPart(part) }

// AddRemote takes service that other owners gave.
func (s *State) AddRemote(service, org string, cost uint64, backlogged bool) {
	q := s.service(service).queue
	q.AddRemote(org, cost)
	q.SetElsewhere(org, backlogged)
}

func (s *State) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, slots: 1, queue: fair.New(), demand: make(map[string]map[entryClass]*demand)}
		s.services[name] = sv
	}
	return sv
}

func (s *State) find(entry core.RouterID, id core.GrantID) (*upstream, *grant) {
	for _, u := range s.upstreams {
		if g := u.grants[grantKey{entry, id}]; g != nil {
			return u, g
		}
	}
	return nil, nil
}

func (s *State) dropGrants(u *upstream, gone func(*grant) bool) {
	q := s.service(u.Service).queue
	for key, g := range u.grants {
		if gone(g) {
			q.Settle(g.org, g.rest)
			delete(u.grants, key)
		}
	}
}

// wait replaces an entry's word on one of its queues.
func (sv *service) wait(now time.Time, from core.RouterID, q *wire.Queue) {
	byEntry := sv.demand[q.Organisation]
	if byEntry == nil {
		byEntry = make(map[entryClass]*demand)
		sv.demand[q.Organisation] = byEntry
	}
	byEntry[entryClass{from, q.Class}] = &demand{
		waiting: q.Waiting,
		oldest:  now.Add(-time.Duration(q.OldestMs) * time.Millisecond),
		prefer:  q.Prefer,
		cost:    uint64(max(q.Cost, 1)),
		at:      now,
	}
	sv.refresh(q.Organisation)
}

// refresh tells the fair queue whether the organisation waits.
func (sv *service) refresh(org string) {
	waiting := false
	for _, d := range sv.demand[org] {
		waiting = waiting || d.waiting > 0
	}
	if !waiting {
		delete(sv.demand, org)
	}
	sv.queue.SetBacklogged(org, waiting)
}

func (sv *service) clear(org string, k entryClass) {
	if d := sv.demand[org][k]; d != nil {
		d.waiting = 0
		sv.refresh(org)
	}
}

func (sv *service) expire(now time.Time) {
	for org, byEntry := range sv.demand {
		for k, d := range byEntry {
			if now.Sub(d.at) > demandAge {
				delete(byEntry, k)
			}
		}
		sv.refresh(org)
	}
}

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
