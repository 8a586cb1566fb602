package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/health"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// State is the reducer. It is not safe for concurrent use.
type State struct {
	options Options
	table   *routing.Table
	// upstreams by id; byKey finds them by their short name, and services lists
	// those that take new work in order of id.
	upstreams map[string]*upstream
	// lapsed are upstreams that left the list, with what they had said of themselves.
	lapsed   map[string]lapsed
	byKey    map[uint32]*upstream
	services map[string][]*upstream
	requests map[string]*request
	queues   map[queueKey]*queue
	// queueOrder are the keys of queues in the order in which they are filled.
	queueOrder []queueKey
	divisions  map[string]*division
	peers      map[string]Report
	// byDomain means that the loads of other failure domains are known late.
	byDomain bool
	shares   shares
	health   *health.State
	// unreported is how much the own loads have changed since the last Report, in
	// prompt tokens.
	unreported int
	// news are parts placed here that the other routers have not heard of.
	news    []Placement
	effects []Effect
	// serial spreads the Retry-After of refusals.
	serial uint64
	// dividedAt is when the upstreams were last divided between the groups.
	dividedAt time.Time
	// sampledAt is when the upstreams' load was last sampled.
	sampledAt time.Time
}

// request is a request under way.
type request struct {
	*Request
	group   group
	arrived time.Time
	// until is when the request has to be over.
	until time.Time
	// giveUp is when waiting any longer makes no sense.
	giveUp time.Time
	// sends counts attempts, ran those that may have run.
	sends, ran int
	// attempt numbers the attempt under way, on its upstream, with the load that
	// is counted there; on is nil while there is none.
	attempt int
	on      *upstream
	sentAt  time.Time
	// silentFrom is from when on the attempt counts as silent.
	silentFrom time.Time
	load       Load
	// answered means that the attempt's first bytes have come, began that the
	// caller has some of the answer, up to lastEvent.
	answered  bool
	began     bool
	lastEvent string
	// avoid are upstreams that have failed the request.
	avoid []string
	// aborting means that the attempt is being broken off, suspected that its
	// silence has been counted against the upstream.
	aborting  bool
	suspected bool
	waiting   bool
	// paid means that the budget has been charged for the next repeat.
	paid bool
	// overShare means that the organisation was over its share on arrival; the
	// request then gets only upstreams that are all but idle.
	overShare bool
	share     Share
	// move is the handing over of the stream, if there is one.
	move move
}

// New returns a State without routes and upstreams.
func New(o Options) *State {
	s := &State{
		options:   o,
		upstreams: make(map[string]*upstream),
		lapsed:    make(map[string]lapsed),
		byKey:     make(map[uint32]*upstream),
		services:  make(map[string][]*upstream),
		requests:  make(map[string]*request),
		queues:    make(map[queueKey]*queue),
		divisions: make(map[string]*division),
		peers:     make(map[string]Report),
		shares:    newShares(o.ShareWindow),
		health:    health.New(),
	}
	s.setBudget(1)
	return s
}

// Step takes an event and returns what follows from it. The slice is valid until
// the next Step.
func (s *State) Step(now time.Time, e Event) []Effect {
	s.effects = s.effects[:0]
	switch e := e.(type) {
	case Arrive:
		s.arrive(now, e.Request)
	case Answered:
		s.firstBytes(now, e)
	case Heard:
		s.heard(now, e)
	case Done:
		s.done(now, e)
	case Failed:
		s.failed(now, e)
	case Advised:
		s.advised(now, e)
	case Moved:
		s.moved(now, e)
	case MoveFailed:
		s.moveFailed(e)
	case Left:
		s.left(now, e.ID)
	case Tick:
		s.tick(now)
	case TableChanged:
		s.table = e.Table
	case InstancesChanged:
		s.setInstances(now, e.Instances)
	case PeerReported:
		s.setPeer(now, e.Peer, e.Report)
	case FleetChanged:
		s.setBudget(e.Routers)
		s.byDomain = e.ByDomain
	case PeerLost:
		s.dropPeer(now, e.Peer)
	}
	return s.effects
}

// NextTick is how soon the next Tick is due.
func (s *State) NextTick() time.Duration {
	for _, q := range s.queues {
		if q.size > 0 {
			return tickBusy
		}
	}
	return tickIdle
}

// Waiting counts the requests that wait.
func (s *State) Waiting() (n int) {
	for _, q := range s.queues {
		n += q.size
	}
	return n
}

// Running counts the requests that are at upstreams.
func (s *State) Running() int { return len(s.requests) - s.Waiting() }

// Upstreams counts the known upstreams.
func (s *State) Upstreams() int { return len(s.upstreams) }

// RetriesLeft is how many repeats the budget pays for, of the service with the
// fewest.
func (s *State) RetriesLeft() int { return s.health.RetriesLeft() }

// Peers counts the routers whose reports are used.
func (s *State) Peers() int { return len(s.peers) }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// setBudget shares the fleet's retries between its routers.
func (s *State) setBudget(routers int) {
	s.health.SetRetryBudget(s.options.RetryRatio, max(1, s.options.RetryBurst/float64(max(1, routers))))
}

// setInstances replaces the list of upstreams, and keeps what is known of those
// that stay.
func (s *State) setInstances(now time.Time, list []Instance) {
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		u := s.upstreams[in.ID]
		if u == nil || !same(u.Instance, in) {
			s.forget(now, in.ID)
			u = &upstream{key: Key(in.ID)}
			s.recall(u, in)
			s.upstreams[in.ID] = u
			s.byKey[u.key] = u
		}
		u.Instance = in
		u.cache.limit = s.cacheLimit(in.Service)
	}
	for id := range s.upstreams {
		if !seen[id] {
			s.forget(now, id)
		}
	}
	s.expireLapsed(now)
	s.listServices()
	for _, r := range s.peers {
		s.applyLoads(Report{}, r)
	}
	s.divide(now)
	s.fillAll(now)
}

// forget drops an upstream. Requests that run there keep their own pointer.
func (s *State) forget(now time.Time, id string) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	s.keepAdvice(now, u)
	delete(s.upstreams, id)
	delete(s.byKey, u.key)
	s.health.Forget(id)
}

func (s *State) cacheLimit(service string) int {
	if s.table == nil {
		return 0
	}
	if sv := s.table.Service(service); sv != nil && sv.Engine != nil {
		return int(cacheShare * float64(sv.Engine.CacheTokens))
	}
	return 0
}

// listServices lists the upstreams that take new work.
func (s *State) listServices() {
	clear(s.services)
	for _, u := range s.upstreams {
		// The loads of peers are added anew for all upstreams.
		u.remote = Load{}
		if !u.Draining {
			s.services[u.Service] = append(s.services[u.Service], u)
		}
	}
	for _, list := range s.services {
		sortUpstreams(list)
	}
}

// engine returns the engine of a service, nil if it has none.
func (s *State) engine(service string) *routing.Engine {
	if s.table == nil {
		return nil
	}
	if sv := s.table.Service(service); sv != nil {
		return sv.Engine
	}
	return nil
}

// tick lets time pass: attempts that have run out of time end, those that are
// silent are moved, and what waits is placed or given up.
func (s *State) tick(now time.Time) {
	if now.Sub(s.sampledAt) >= tickIdle {
		s.sampledAt = now
		for _, u := range s.upstreams {
			u.sample(now, s.options.PrefillRate)
		}
	}
	if now.Sub(s.dividedAt) >= groupsEvery {
		s.dividedAt = now
		s.divide(now)
	}
	for _, r := range s.overdue(now) {
		s.watch(now, r)
	}
	s.fillAll(now)
}

// overdue lists the attempts that are out of time or silent, in the order of
// their starts: the budget may not pay for all of them.
func (s *State) overdue(now time.Time) (list []*request) {
	for _, r := range s.requests {
		if !r.waiting && (!now.Before(r.until) || !r.answered && !r.aborting && now.Sub(r.silentFrom) > silentMin) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// watch looks after one attempt under way.
func (s *State) watch(now time.Time, r *request) {
	switch silent := now.Sub(r.silentFrom); {
	case !now.Before(r.until):
		s.fail(now, r, Fail{ID: r.ID, Reason: ReasonTimeout, Timeout: true})
	case r.answered || r.aborting:
	case s.mayRepeat(r) && silent > s.silentAfter(r) && s.payRetry(r):
		r.aborting, r.paid = true, true
		s.emit(Abort{ID: r.ID, Attempt: r.attempt})
	case !r.suspected && silent > silentAtMostOnce:
		r.suspected = true
		s.health.Failure(r.on.ID, r.Service, now, core.FailSilent)
	}
}

// heard starts the watch for silence anew.
func (s *State) heard(now time.Time, e Heard) {
	if r := s.running(e.ID, e.Attempt); r != nil {
		r.aborting, r.silentFrom = false, now
	}
}

// silentAfter is how long a repeatable attempt may take to its first byte.
func (s *State) silentAfter(r *request) time.Duration {
	return max(silentMin, time.Duration(silentFactor*float64(r.Route.LatencyTarget)))
}
