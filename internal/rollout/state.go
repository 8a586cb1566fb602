package rollout

import (
	"hash/fnv"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
)

const (
	// pollInterval is the mean time between reads of the head from the platform.
	pollInterval = 5 * time.Second
	// pollRetryMin is the first wait for an answer of the platform; it doubles up to
	// pollRetryMax.
	pollRetryMin = time.Second
	pollRetryMax = 8 * time.Second
	// gatherWindow is how long a found generation waits for news of a higher one.
	gatherWindow = 500 * time.Millisecond
	// fetchTimeout is how long a peer, or the decoding of its answer, may take.
	fetchTimeout = 2 * time.Second
	// peerBackoffMin is how long a peer that failed to answer is passed over; it doubles
	// with each failure up to blockMax.
	peerBackoffMin = time.Second
	peerBackoffMax = 30 * time.Second
	// maxProbes bounds the peers that a router without a configuration asks at a
	// time without knowing whether they have one.
	maxProbes = 8
	// initialFanout is how many peers are told of a generation when it is applied. As
	// each of them does the same, this reaches nearly all.
	initialFanout = 8
	// repeatFanout is how many more are told each spreadEvery, for spreadFor; later it
	// is one each lateEvery.
	repeatFanout   = 2
	spreadInterval = time.Second
	spreadDuration = 15 * time.Second
	lateInterval   = 10 * time.Second
	// noticeRetryInterval is how long a told peer may stay at a lower generation.
	noticeRetryInterval = 10 * time.Second
	// serveInterval is the shortest time between equal answers to one peer.
	serveInterval = time.Second
	// maxDeltaBases is how many generations in force a router remembers the parts of,
	// to send only what is new since.
	maxDeltaBases = 4
)

// State is the configuration as one router knows it. It is not safe for
// concurrent use.
type State struct {
	self    core.RouterID
	now     time.Time
	started time.Time
	effects []core.Effect

	inForce    core.ConfigHead
	deltaBases []deltaBase
	candidate  core.ConfigHead
	// candidateSince is when the first candidate since the last apply was found.
	candidateSince time.Time

	peers map[core.RouterID]*peer
	// rankedPeers are the peers in the order of this router; nil after a change.
	rankedPeers []*peer
	fetch       pendingFetch
	decodings   map[uint64]pendingDecode
	poll        pollState
	appliedAt   time.Time
	nextNotice  time.Time
	wake        time.Time
}

// deltaBase remembers the parts of a generation that was in force.
type deltaBase struct {
	generation uint64
	parts      map[string]bool
}

// New returns the state of a router without memory.
func New(self core.RouterID) *State {
	return &State{
		self:      self,
		peers:     make(map[core.RouterID]*peer),
		decodings: make(map[uint64]pendingDecode),
		wake:      time.Unix(0, 0),
	}
}

// Generation is the generation in force, 0 if none is.
func (s *State) Generation() uint64 { return s.inForce.Generation }

// Digest is the digest of the configuration in force.
func (s *State) Digest() string { return s.inForce.Digest }

// Config is the configuration in force, nil if none is.
func (s *State) Config() *config.Config { return s.inForce.Config }

// Ready reports whether a configuration is in force.
func (s *State) Ready() bool { return s.inForce.Config != nil }

// PeerGeneration is the highest generation that a connected peer is known to
// have in force.
func (s *State) PeerGeneration(id core.RouterID) (uint64, bool) {
	p, ok := s.peers[id]
	if !ok {
		return 0, false
	}
	return p.generation, true
}

// Step takes one event in and returns what to do.
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

// beginStep reports whether the event concerns the configuration.
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

// runDueWork does what has become due.
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

// Wake is when a Tick is due next. Before the first step it lies in the past.
func (s *State) Wake() time.Time { return s.wake }

// nextWake works out when something becomes due.
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

// highestHeld is the highest generation that is here, in force or not yet.
func (s *State) highestHeld() uint64 {
	return max(s.inForce.Generation, s.candidate.Generation)
}

// highestExpected is the highest generation that is here or being decoded.
func (s *State) highestExpected() uint64 {
	highest := s.highestHeld()
	for generation := range s.decodings {
		highest = max(highest, generation)
	}
	return highest
}

// emit adds an effect of this step.
func (s *State) emit(effect core.Effect) { s.effects = append(s.effects, effect) }

// hash spreads routers and peers evenly.
func hash(texts ...string) uint32 {
	h := fnv.New32a()
	for _, text := range texts {
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	return h.Sum32()
}
