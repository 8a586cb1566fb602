package rollout

import (
	"hash/fnv"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
)

const (
	// pollInterval is the mean interval at which a router reads the head from the
	// platform.
	pollInterval = 5 * time.Second
	// pollRetryMin is how long a router waits for a response of the platform before
	// it polls again. The wait doubles with each retry, up to pollRetryMax.
	pollRetryMin = time.Second
	pollRetryMax = 8 * time.Second
	// gatherWindow is the maximum time for which a generation is held back because
	// a higher one may be found.
	gatherWindow = 500 * time.Millisecond
	// fetchTimeout bounds the time for a peer's response, and then the time for
	// decoding it.
	fetchTimeout = 2 * time.Second
	// peerBackoffMin is how long nothing is fetched from a peer after a failure. The
	// backoff doubles with each further failure, up to peerBackoffMax.
	peerBackoffMin = time.Second
	peerBackoffMax = 30 * time.Second
	// maxProbes is the maximum number of concurrent probes: fetches that a router
	// without a configuration sends to peers whose generation it does not know.
	maxProbes = 8
	// initialFanout is the number of peers that are notified of a generation when it
	// is applied. As each of them does the same, this reaches nearly all routers.
	initialFanout = 8
	// repeatFanout is the number of further peers that are notified in each
	// spreadInterval until spreadDuration after the generation was applied. After
	// that, one peer is notified in each lateInterval.
	repeatFanout   = 2
	spreadInterval = time.Second
	spreadDuration = 15 * time.Second
	lateInterval   = 10 * time.Second
	// noticeRetryInterval is how long a notified peer may stay at a lower generation
	// before it is notified again.
	noticeRetryInterval = 10 * time.Second
	// serveInterval is the minimum time between responses to fetches of one peer
	// that state the same generation.
	serveInterval = time.Second
	// maxDeltaBases is the number of applied generations whose part digests a router
	// keeps, in order to send peers at these generations only the parts that are new.
	maxDeltaBases = 4
)

// State is the rollout state of one router: the configuration in force, the
// candidate to replace it, and what the peers have. It is not safe for concurrent
// use.
type State struct {
	self core.RouterID
	// now is the time of the current step, and started that of the first one.
	now     time.Time
	started time.Time
	// effects are the effects of the current step.
	effects []core.Effect

	inForce core.ConfigHead
	// deltaBases are the generations that were applied last, oldest first.
	deltaBases []deltaBase
	// candidate is the highest generation found that is not in force yet; its
	// Config is nil if there is none.
	candidate core.ConfigHead
	// candidateSince is when the first candidate since the last apply was found.
	candidateSince time.Time

	peers map[core.RouterID]*peer
	// rankedPeers caches the result of ranked; nil after the peers have changed.
	rankedPeers []*peer
	fetch       pendingFetch
	// decodings are the configurations that the runtime is decoding, by generation.
	decodings map[uint64]pendingDecode
	poll      pollState
	// appliedAt is when the configuration in force was applied.
	appliedAt time.Time
	// nextNotice is the earliest time of the next notices that are rate limited.
	nextNotice time.Time
	wake       time.Time
}

// deltaBase holds the digests of the parts of an applied generation.
type deltaBase struct {
	generation uint64
	parts      map[string]bool
}

// New returns the state of a router that has just started and has no
// configuration.
func New(self core.RouterID) *State {
	return &State{
		self:      self,
		peers:     make(map[core.RouterID]*peer),
		decodings: make(map[uint64]pendingDecode),
		wake:      time.Unix(0, 0),
	}
}

// Generation returns the generation in force, 0 if there is none.
func (s *State) Generation() uint64 { return s.inForce.Generation }

// Digest returns the digest of the configuration in force.
func (s *State) Digest() string { return s.inForce.Digest }

// Config returns the configuration in force, nil if there is none.
func (s *State) Config() *config.Config { return s.inForce.Config }

// Ready reports whether a configuration is in force.
func (s *State) Ready() bool { return s.inForce.Config != nil }

// PeerGeneration returns the highest generation that a connected peer is known to
// have in force.
func (s *State) PeerGeneration(id core.RouterID) (uint64, bool) {
	p, ok := s.peers[id]
	if !ok {
		return 0, false
	}
	return p.generation, true
}

// Step processes one event and returns the effects to carry out.
func (s *State) Step(now time.Time, ev core.Event) []core.Effect {
	if !s.beginStep(now, ev) {
		return nil
	}
	switch ev := ev.(type) {
	case core.PeerUp:
		s.handlePeerUp(ev)
	case core.PeerDown:
		s.handlePeerDown(ev)
	case core.PeerMessage:
		s.handleMessage(ev)
	case core.ConfigHead:
		s.handleConfigHead(ev)
	}
	s.runDueWork()
	return s.effects
}

// beginStep prepares a step for an event. It returns false if the event does not
// concern the configuration or is a Tick before Wake.
func (s *State) beginStep(now time.Time, ev core.Event) bool {
	switch ev := ev.(type) {
	case core.Tick:
		if now.Before(s.wake) {
			return false
		}
	case core.PeerUp, core.PeerDown, core.ConfigHead:
	case core.PeerMessage:
		if !isRelevant(ev.Message) {
			return false
		}
	default:
		return false
	}
	s.now = now
	s.effects = nil
	if s.started.IsZero() {
		s.started = now
	}
	return true
}

// runDueWork does everything that is due at the end of a step.
func (s *State) runDueWork() {
	s.applyCandidate()
	s.pollStore()
	s.expireDeadlines()
	s.probePeers()
	s.fetchHigher()
	s.applyCandidate()
	s.sendDueNotices()
	s.wake = s.nextWake()
}

// Wake returns when the next Tick is due. Before the first step it is in the past.
func (s *State) Wake() time.Time { return s.wake }

// nextWake returns the earliest time at which something becomes due.
func (s *State) nextWake() time.Time {
	wake := s.poll.nextAt
	for _, at := range []time.Time{s.candidateDue(), s.fetch.deadline, s.nextNoticeDue()} {
		wake = timers.Earliest(wake, at)
	}
	for _, d := range s.decodings {
		wake = timers.Earliest(wake, d.deadline)
	}
	for _, p := range s.peers {
		wake = timers.Earliest(wake, p.probeDeadline)
		if p.generation > s.highestHeld() && p.backingOff(s.now) {
			wake = timers.Earliest(wake, p.backoffUntil)
		}
	}
	return wake
}

// highestHeld returns the highest generation that this router has decoded: the one
// in force or the candidate.
func (s *State) highestHeld() uint64 {
	return max(s.inForce.Generation, s.candidate.Generation)
}

// highestExpected returns the highest generation that this router has or is
// decoding.
func (s *State) highestExpected() uint64 {
	highest := s.highestHeld()
	for generation := range s.decodings {
		highest = max(highest, generation)
	}
	return highest
}

// emit adds an effect to the current step.
func (s *State) emit(effect core.Effect) { s.effects = append(s.effects, effect) }

// hash returns a hash of texts, for evenly distributed ranks and poll times.
func hash(texts ...string) uint32 {
	h := fnv.New32a()
	for _, text := range texts {
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	return h.Sum32()
}
