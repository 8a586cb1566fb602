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
	// delisted are upstreams that left the list, with what they had said of themselves.
	delisted map[string]delisted
	byKey    map[uint32]*upstream
	services map[string][]*upstream
	requests map[string]*request
	queues   map[queueKey]*queue
	// queueOrder are the keys of queues in the order in which they are filled.
	queueOrder []queueKey
	partitions map[string]*partition
	peers      map[string]Report
	// aggregatedByDomain means that the loads of other failure domains are known late.
	aggregatedByDomain bool
	shares             shareTracker
	health             *health.State
	// unreportedTokens is how much the own loads have changed since the last Report, in
	// prompt tokens.
	unreportedTokens int
	// unreportedPlacements are parts placed here that the other routers have not heard of.
	unreportedPlacements []Placement
	effects              []Effect
	// refusals spreads the Retry-After of refusals.
	refusals uint64
	// partitionedAt is when the upstreams were last divided between the groups.
	partitionedAt time.Time
	// sampledAt is when the upstreams' load was last sampled.
	sampledAt time.Time
}

// request is a request under way.
type request struct {
	*Request
	class     workloadClass
	arrivedAt time.Time
	// expiresAt is when the request has to be over.
	expiresAt time.Time
	// queueDeadline is when waiting any longer makes no sense.
	queueDeadline time.Time
	// sends counts attempts, ran those that may have run.
	sends, possibleRuns int
	// attempt numbers the attempt under way, on its upstream, with the load that
	// is counted there; on is nil while there is none.
	attempt  int
	upstream *upstream
	sentAt   time.Time
	// silentSince is from when on the attempt counts as silent.
	silentSince time.Time
	load        Load
	// firstByteReceived means that the attempt's first bytes have come, began that the
	// caller has some of the answer, up to lastEvent.
	firstByteReceived bool
	responseStarted   bool
	lastEventID       string
	// failedUpstreams are upstreams that have failed the request.
	failedUpstreams []string
	// aborting means that the attempt is being broken off, suspected that its
	// silence has been counted against the upstream.
	aborting       bool
	silenceCounted bool
	waiting        bool
	// retryCharged means that the budget has been charged for the next repeat.
	retryCharged bool
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
		options:    o,
		upstreams:  make(map[string]*upstream),
		delisted:   make(map[string]delisted),
		byKey:      make(map[uint32]*upstream),
		services:   make(map[string][]*upstream),
		requests:   make(map[string]*request),
		queues:     make(map[queueKey]*queue),
		partitions: make(map[string]*partition),
		peers:      make(map[string]Report),
		shares:     newShareTracker(o.ShareWindow),
		health:     health.New(),
	}
	s.setRetryBudget(1)
	return s
}

// Step takes an event and returns what follows from it. The slice is valid until
// the next Step.
func (s *State) Step(now time.Time, e Event) []Effect {
	s.effects = s.effects[:0]
	switch e := e.(type) {
	case Arrive:
		s.handleArrival(now, e.Request)
	case Answered:
		s.handleFirstByte(now, e)
	case Heard:
		s.handleAbortDeclined(now, e)
	case Done:
		s.handleDone(now, e)
	case Failed:
		s.handleFailure(now, e)
	case Advised:
		s.handleInstanceReport(now, e)
	case Moved:
		s.handleMoved(now, e)
	case MoveFailed:
		s.handleMoveFailed(e)
	case Left:
		s.handleCallerLeft(now, e.ID)
	case Tick:
		s.handleTick(now)
	case TableChanged:
		s.table = e.Table
	case InstancesChanged:
		s.setInstances(now, e.Instances)
	case PeerReported:
		s.setPeer(now, e.Peer, e.Report)
	case FleetChanged:
		s.setRetryBudget(e.Routers)
		s.aggregatedByDomain = e.ByDomain
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

// setRetryBudget shares the fleet's retries between its routers.
func (s *State) setRetryBudget(routers int) {
	s.health.SetRetryBudget(s.options.RetryRatio, max(1, s.options.RetryBurst/float64(max(1, routers))))
}

// setInstances replaces the list of upstreams, and keeps what is known of those
// that stay.
func (s *State) setInstances(now time.Time, list []Instance) {
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		u := s.upstreams[in.ID]
		if u == nil || !sameStart(u.Instance, in) {
			s.forgetUpstream(now, in.ID)
			u = &upstream{key: Key(in.ID)}
			s.restoreAdvice(u, in)
			s.upstreams[in.ID] = u
			s.byKey[u.key] = u
		}
		u.Instance = in
		u.cache.limit = s.cacheLimit(in.Service)
	}
	for id := range s.upstreams {
		if !seen[id] {
			s.forgetUpstream(now, id)
		}
	}
	s.expireDelisted(now)
	s.rebuildServices()
	for _, r := range s.peers {
		s.replaceLoads(Report{}, r)
	}
	s.partitionUpstreams(now)
	s.drainAllQueues(now)
}

// forgetUpstream drops an upstream. Requests that run there keep their own pointer.
func (s *State) forgetUpstream(now time.Time, id string) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	s.rememberAdvice(now, u)
	delete(s.upstreams, id)
	delete(s.byKey, u.key)
	s.health.Forget(id)
}

func (s *State) cacheLimit(service string) int {
	if s.table == nil {
		return 0
	}
	if sv := s.table.Service(service); sv != nil && sv.Engine != nil {
		return int(cacheMemoryFraction * float64(sv.Engine.CacheTokens))
	}
	return 0
}

// rebuildServices lists the upstreams that take new work.
func (s *State) rebuildServices() {
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

// handleTick lets time pass: attempts that have run out of time end, those that are
// silent are moved, and what waits is placed or given up.
func (s *State) handleTick(now time.Time) {
	if now.Sub(s.sampledAt) >= tickIdle {
		s.sampledAt = now
		for _, u := range s.upstreams {
			u.samplePrefill(now, s.options.PrefillRate)
		}
	}
	if now.Sub(s.partitionedAt) >= partitionInterval {
		s.partitionedAt = now
		s.partitionUpstreams(now)
	}
	for _, r := range s.overdueAttempts(now) {
		s.checkAttempt(now, r)
	}
	s.drainAllQueues(now)
}

// overdueAttempts lists the attempts that are out of time or silent, in the order of
// their starts: the budget may not pay for all of them.
func (s *State) overdueAttempts(now time.Time) (list []*request) {
	for _, r := range s.requests {
		if !r.waiting && (!now.Before(r.expiresAt) || !r.firstByteReceived && !r.aborting && now.Sub(r.silentSince) > minSilence) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// checkAttempt looks after one attempt under way.
func (s *State) checkAttempt(now time.Time, r *request) {
	switch silent := now.Sub(r.silentSince); {
	case !now.Before(r.expiresAt):
		s.fail(now, r, Fail{ID: r.ID, Reason: ReasonTimeout, Timeout: true})
	case r.firstByteReceived || r.aborting:
	case s.mayRetry(r) && silent > s.silenceTimeout(r) && s.chargeRetry(r):
		r.aborting, r.retryCharged = true, true
		s.emit(Abort{ID: r.ID, Attempt: r.attempt})
	case !r.silenceCounted && silent > nonRetryableSilence:
		r.silenceCounted = true
		s.health.Failure(r.upstream.ID, r.Service, now, core.FailSilent)
	}
}

// handleAbortDeclined starts the watch for silence anew.
func (s *State) handleAbortDeclined(now time.Time, e Heard) {
	if r := s.activeRequest(e.ID, e.Attempt); r != nil {
		r.aborting, r.silentSince = false, now
	}
}

// silenceTimeout is how long a repeatable attempt may take to its first byte.
func (s *State) silenceTimeout(r *request) time.Duration {
	return max(minSilence, time.Duration(silenceFactor*float64(r.Route.LatencyTarget)))
}
