package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/coldstart"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/health"
	"github.com/jujubeford/jujubeford/internal/pace"
	"github.com/jujubeford/jujubeford/internal/poison"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/internal/speed"
)

// State is the reducer of dispatch events. It is not safe for concurrent use.
type State struct {
	options Options
	table   *routing.Table
	// upstreams holds the upstreams by id and byKey by Key(id). services lists
	// those that take new work, in the order of sortUpstreams.
	upstreams map[string]*upstream
	// poison knows which requests crash upstreams, and newsCounted means that what peers
	// have to hear of it is counted in unreportedTokens.
	poison      *poison.State
	newsCounted bool
	// probing holds the ids of the instances that are being probed.
	probing map[string]bool
	// delisted holds the advice of instances that are not listed, by id.
	delisted map[string]delisted
	byKey    map[uint32]*upstream
	services map[string][]*upstream
	requests map[string]*request
	queues   map[queueKey]*queue
	// queueOrder holds the keys of queues, in the order in which they are drained.
	queueOrder []queueKey
	partitions map[string]*partition
	evacuated  evacuations
	peers      map[string]Report
	// self is the name of this router and routers those of all that are registered.
	self    string
	routers []string
	// fleet orders the registered routers as senders to cold upstreams. listed means that
	// the first list of upstreams has been applied.
	fleet  coldstart.Fleet
	listed bool
	// answers knows how the upstreams of each service answer, and paceTold what each peer
	// tells of upstreams that have started or failed. held counts the upstreams passed over.
	answers  map[string]*pace.Peers
	paceTold map[string]map[uint32]pace.Evidence
	held     int
	// unpaced has the services whose upstreams have no pace while they are up.
	unpaced map[string]bool
	// meanPrompt is the moving average of the prompt tokens that engines read per request.
	meanPrompt float64
	// aggregatedByDomain means that the loads of other failure domains arrive
	// aggregated per domain, and late.
	aggregatedByDomain bool
	// shortOfMemory is set when an upstream lacks memory for a request that it otherwise has
	// room for, and reservations counts the requests that memory is reserved for, by service.
	shortOfMemory bool
	reservations  map[string]int
	shares        shareTracker
	health        *health.State
	speeds        *speed.State
	// speedsUpdatedAt is when the speeds of a service's upstreams were last computed.
	speedsUpdatedAt map[string]time.Time
	// unreportedTokens is the change of this router's load since the last Report,
	// in prompt tokens.
	unreportedTokens int
	// unreportedPlacements are the placements since the last Report.
	unreportedPlacements []Placement
	effects              []Effect
	// refusals counts refused requests; it spreads their Retry-After.
	refusals uint64
	// partitionedAt is when the upstreams were last partitioned between the
	// workload classes.
	partitionedAt time.Time
	// sampledAt is when the prefill load of the upstreams was last sampled.
	sampledAt time.Time
}

// request is a request that waits or has an attempt in flight.
type request struct {
	*Request
	class     workloadClass
	regions   routing.Regions
	traits    poison.Request
	arrivedAt time.Time
	// expiresAt is when the request has to end.
	expiresAt time.Time
	// queueDeadline is when a request that still waits is refused or fails.
	queueDeadline time.Time
	// sends counts the attempts, possibleRuns those that may have run.
	sends, possibleRuns int
	// attempt is the number of the current attempt, upstream where it runs and
	// load what is counted there; upstream is nil while there is no attempt.
	attempt  int
	upstream *upstream
	sentAt   time.Time
	// expectedWork is the time that the attempt takes to its first byte at the speed 1,
	// apart from its setup; 0 if it does not tell of the upstream's speed.
	expectedWork time.Duration
	// unanswered means that the attempt is counted as one without an answer, which was
	// predicted to begin after a time, 0 if not known.
	unanswered bool
	predicted  time.Duration
	// sentCold means that the attempt was counted as one to a cold upstream.
	sentCold bool
	// reserved is where reservedMemory is kept for the request while it waits, and
	// beyondExpected what it may have generated beyond the expectation.
	reserved                       *upstream
	reservedMemory, beyondExpected int
	// firstByteAt is when the first bytes of the attempt arrived. survived means that it
	// has run for survivalTime since then.
	firstByteAt time.Time
	survived    bool
	// silentSince is the time from which the silence of the attempt is measured.
	silentSince time.Time
	load        Load
	// firstByteReceived means that the first bytes of the attempt have arrived,
	// responseStarted that part of the answer, up to lastEventID, has been
	// delivered to the caller.
	firstByteReceived bool
	responseStarted   bool
	lastEventID       string
	// failedUpstreams are the ids of upstreams where attempts failed; they are not
	// used again for this request.
	failedUpstreams []string
	// aborting means that an Abort of the attempt is outstanding, silenceCounted
	// that its silence was counted as a failure of the upstream.
	aborting       bool
	silenceCounted bool
	waiting        bool
	// retryCharged means that the retry budget was charged for the next retry.
	retryCharged bool
	// overShare means that the organisation was over its share on arrival. The
	// request is then sent only to upstreams that are nearly idle.
	overShare bool
	share     Share
	// move is the state of moving the stream to another upstream.
	move move
}

// New returns a State without routes and upstreams.
func New(o Options) *State {
	s := &State{
		options:    o,
		upstreams:  make(map[string]*upstream),
		poison:     poison.New(),
		probing:    make(map[string]bool),
		delisted:   make(map[string]delisted),
		byKey:      make(map[uint32]*upstream),
		services:   make(map[string][]*upstream),
		requests:   make(map[string]*request),
		queues:     make(map[queueKey]*queue),
		partitions: make(map[string]*partition),
		peers:      make(map[string]Report),
		evacuated:  evacuations{emptied: make(map[string]bool), openFraction: 1},
		shares:     newShareTracker(o.ShareWindow),
		health:     health.New(),
		speeds:     speed.New(),

		speedsUpdatedAt: make(map[string]time.Time),
		answers:         make(map[string]*pace.Peers),
		unpaced:         make(map[string]bool),
		paceTold:        make(map[string]map[uint32]pace.Evidence),
		reservations:    make(map[string]int),
	}
	s.setRetryBudget(1)
	return s
}

// Step applies an event and returns the resulting effects. The slice is valid until
// the next Step.
func (s *State) Step(now time.Time, e Event) []Effect {
	s.effects = s.effects[:0]
	switch e := e.(type) {
	case Arrive:
		s.handleArrival(now, e.Request)
	case FirstByteReceived:
		s.handleFirstByte(now, e)
	case ErrorReceived:
		s.handleError(now, e)
	case PauseMeasured:
		s.handlePause(now, e)
	case AbortDeclined:
		s.handleAbortDeclined(now, e)
	case Done:
		s.handleDone(now, e)
	case Failed:
		s.handleFailure(now, e)
	case InstanceReported:
		s.handleInstanceReport(now, e)
	case Probed:
		s.handleProbe(now, e)
	case Moved:
		s.handleMoved(now, e)
	case MoveFailed:
		s.handleMoveFailed(e)
	case CallerLeft:
		s.handleCallerLeft(now, e.ID)
	case Stopping:
		s.endAll(now)
	case Tick:
		s.handleTick(now)
	case TableChanged:
		s.table = e.Table
	case InstancesChanged:
		s.setEvacuations(e.Evacuated)
		s.setInstances(now, e.Instances, e.Since)
	case PeerReported:
		s.setPeer(now, e.Peer, e.Report)
	case FleetChanged:
		s.setRetryBudget(e.Routers)
		s.setRouters(now, e.Self, e.Registered)
		s.fleet.Set(now, e.Self, e.Registered, e.Domains)
		s.aggregatedByDomain = e.AggregatedByDomain
		s.poison.SetSettleTime(crashReportTime(e.AggregatedByDomain))
	case PeerLost:
		s.dropPeer(now, e.Peer)
	}
	s.applyBlocks(now)
	return s.effects
}

// NextTick returns the time until the next Tick is due.
func (s *State) NextTick() time.Duration {
	for _, q := range s.queues {
		if q.size > 0 {
			return tickBusy
		}
	}
	if len(s.requests) == 0 {
		return tickEmpty
	}
	return tickIdle
}

// MaySend reports whether a request that was placed at an instance may still be sent there:
// connecting takes time, and a router that was short of it sends late.
func (s *State) MaySend(now time.Time, in Instance) bool {
	u := s.upstreams[in.ID]
	return u != nil && SameStart(u.Instance, in) && u.mayContinue(now)
}

// Waiting returns the number of waiting requests.
func (s *State) Waiting() (n int) {
	for _, q := range s.queues {
		n += q.size
	}
	return n
}

// Running returns the number of requests with an attempt in flight.
func (s *State) Running() int { return len(s.requests) - s.Waiting() }

// Upstreams returns the number of known upstreams.
func (s *State) Upstreams() int { return len(s.upstreams) }

// LimitedUpstreams returns the number of upstreams that name a limit.
func (s *State) LimitedUpstreams() (n int) {
	for _, u := range s.upstreams {
		if u.limit.perSecond > 0 {
			n++
		}
	}
	return n
}

// RetriesLeft returns the number of retries left in the budget of the service that
// has the fewest.
func (s *State) RetriesLeft() int { return s.health.RetriesLeft() }

// upstreamsWhere lists the upstreams of which something holds, in the order of their ids: the
// same events have the same effects in the same order.
func (s *State) upstreamsWhere(holds func(u *upstream) bool) (list []*upstream) {
	for _, u := range s.upstreams {
		if holds(u) {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Peers returns the number of routers whose reports are in use.
func (s *State) Peers() int { return len(s.peers) }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// setRetryBudget divides the fleet's retry burst evenly between the routers.
func (s *State) setRetryBudget(routers int) {
	s.health.SetRetryBudget(s.options.RetryRatio, max(1, s.options.RetryBurst/float64(max(1, routers))))
}

// setInstances replaces the list of upstreams and keeps the state of those that
// remain. since is the earliest time at which an instance of which it is new may have left.
func (s *State) setInstances(now time.Time, list []Instance, since time.Time) {
	if since.IsZero() {
		since = now
	}
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		u := s.upstreams[in.ID]
		isNew := u == nil || !SameStart(u.Instance, in)
		if isNew {
			s.forgetUpstream(now, in.ID)
			u = newUpstream(in)
			s.restoreAdvice(u, in)
			s.upstreams[in.ID] = u
			s.byKey[u.key] = u
		}
		s.setDeparted(u, in)
		u.Instance = in
		u.evacuatedAt = s.evacuated.since[in.Domain]
		s.applyColdEntry(now, u, isNew)
		switch {
		case in.Departed, u.leaving:
			u.markLeft(now)
		case in.Draining:
			u.markLeft(since)
		default:
			u.leftAt = time.Time{}
		}
		u.cache.limit = s.cacheLimit(in.Service)
	}
	for id := range s.upstreams {
		if !seen[id] {
			s.forgetUpstream(now, id)
		}
	}
	s.listed = s.listed || len(list) > 0
	s.expireDelisted(now)
	s.rebuildServices()
	for _, r := range s.peers {
		s.replaceLoads(Report{}, r)
	}
	s.findPeerless()
	s.partitionUpstreams(now)
	s.drainAllQueues(now)
	s.refuseEvacuated(now)
}

// forgetUpstream removes an upstream. Requests that run there keep their pointer to
// it.
func (s *State) forgetUpstream(now time.Time, id string) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	s.rememberAdvice(now, u)
	if u.reservedFor != nil {
		s.releaseReservation(u.reservedFor)
	}
	// Its entry has been retained after its removal: it left long ago.
	u.markLeft(now.Add(-maxSendAfterLeaving))
	delete(s.upstreams, id)
	delete(s.byKey, u.key)
	s.health.Remove(id)
	s.speeds.Forget(u.run)
}

// cacheLimit returns the number of tokens of shared parts that an engine of a service
// is expected to cache, 0 if it is not bounded.
func (s *State) cacheLimit(service string) int {
	if s.table == nil {
		return 0
	}
	if sv := s.table.Service(service); sv != nil && sv.Engine != nil {
		return int(cacheMemoryFraction * float64(sv.Engine.CacheTokens))
	}
	return 0
}

// rebuildServices lists the upstreams that take new work, by service.
func (s *State) rebuildServices() {
	clear(s.services)
	for _, u := range s.upstreams {
		// The caller adds the loads reported by peers again, for all upstreams.
		u.remote = Load{}
		if !u.Draining && !u.Departed && !u.isEvacuated() {
			s.services[u.Service] = append(s.services[u.Service], u)
		}
	}
	for _, list := range s.services {
		sortUpstreams(list)
	}
	s.countEvacuated()
}

// engine returns the engine of a service, or nil if the service has none.
func (s *State) engine(service string) *routing.Engine {
	if s.table == nil {
		return nil
	}
	if sv := s.table.Service(service); sv != nil {
		return sv.Engine
	}
	return nil
}

// handleTick samples the upstreams and partitions them when due, ends attempts that
// have run out of time, aborts silent ones, and drains the queues.
func (s *State) handleTick(now time.Time) {
	if now.Sub(s.sampledAt) >= tickIdle {
		s.sampledAt = now
		for _, u := range s.upstreams {
			u.samplePrefill(now, s.options.PrefillRate*u.speed)
		}
		s.countGenerated(now)
		s.recordSurvivors(now)
		s.poison.Tick(now)
		s.updatePaces(now)
		s.endCold(now)
	}
	if now.Sub(s.partitionedAt) >= partitionInterval {
		s.partitionedAt = now
		s.partitionUpstreams(now)
		s.reportEmptied(now)
	}
	for _, r := range s.overdueAttempts(now) {
		s.checkAttempt(now, r)
	}
	s.drainAllQueues(now)
}

// overdueAttempts lists the attempts that are out of time or silent, oldest first: the
// retry budget may not cover all of them.
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

// checkAttempt fails an attempt that is out of time and aborts a silent one if it can
// be retried. The silence of others is counted as a failure of the upstream.
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
		s.health.RecordFailure(r.upstream.ID, r.Service, now, core.FailIdle)
	}
}

// handleAbortDeclined restarts the silence timeout of an attempt.
func (s *State) handleAbortDeclined(now time.Time, e AbortDeclined) {
	if r := s.activeRequest(e.ID, e.Attempt); r != nil {
		r.aborting, r.silentSince = false, now
	}
}

// silenceTimeout returns how long a retryable attempt may take to its first byte.
func (s *State) silenceTimeout(r *request) time.Duration {
	timeout := silenceFactor * float64(r.Route.LatencyTarget)
	if r.upstream != nil {
		timeout /= min(1, r.upstream.speed)
	}
	return max(minSilence, time.Duration(timeout))
}
