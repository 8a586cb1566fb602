package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/claims"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/counters"
	"github.com/jujubeford/jujubeford/internal/entry"
	"github.com/jujubeford/jujubeford/internal/health"
	"github.com/jujubeford/jujubeford/internal/membership"
	"github.com/jujubeford/jujubeford/internal/orders"
	"github.com/jujubeford/jujubeford/internal/owner"
	"github.com/jujubeford/jujubeford/internal/placement"
	"github.com/jujubeford/jujubeford/internal/quarantine"
	"github.com/jujubeford/jujubeford/internal/rollout"
	"github.com/jujubeford/jujubeford/internal/timers"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// Policy selects how slots are shared between routers.
type Policy string

// The policies.
const (
	// PolicyOwner has each upstream's slots granted by its single owner.
	PolicyOwner Policy = "owner"
	// PolicyBaseline has each router schedule on its own over a fixed part of
	// each upstream's slots.
	PolicyBaseline Policy = "baseline"
)

const leavingState = wire.MemberState_MEMBER_LEAVING

// handoverFor is how long a draining router waits before it exits, so that
// other routers learn that it is leaving and its upstreams get new owners.
const handoverFor = time.Second

// isolatedAfter is how long a router that has just started waits for other
// routers before it serves alone.
const isolatedAfter = time.Second

// Options are the settings of a reducer.
type Options struct {
	Self   core.Peer
	Seeds  []string
	Seed   uint64
	Policy Policy
	// Routers is the number of routers that the slots are divided between under
	// PolicyBaseline.
	Routers int
	// Disable selects the safeguards to disable. For tests only.
	Disable Safeguard
}

// State is the whole state of a router.
type State struct {
	options    Options
	view       *placement.View
	members    *membership.State
	rollout    *rollout.State
	claims     *claims.State
	quarantine *quarantine.State
	health     *health.State
	entry      *entry.State
	owner      *owner.State
	counters   *counters.State
	orders     *orders.State

	// hasInstanceList means that the platform provided an instance list.
	// lastListingPeer is the index of the peer that was last asked for one.
	hasInstanceList bool
	lastListingPeer int
	memberChanges   uint64
	generation      uint64
	alive           map[core.RouterID]bool
	ready           bool
	drainSince      time.Time
	// drainExpired means that the time limit of the drain has passed.
	drainExpired bool
	exited       bool
	steps        stepTimes

	// pending holds the messages that wait for a connection, by router.
	pending map[core.RouterID]*pendingMessages
	// now is the time of the current step.
	now time.Time
	// stepEffects are the effects of the current step, loopback the messages of
	// this router to itself that are still to be processed.
	stepEffects []core.Effect
	loopback    []*wire.Envelope
}

// New returns the state of a router that has just started and has no earlier
// state.
func New(o Options) *State {
	s := &State{
		options:    o,
		view:       placement.NewView(o.Self.ID, o.Self.Domain),
		members:    membership.New(o.Self, o.Seeds, o.Seed),
		rollout:    rollout.New(o.Self.ID),
		claims:     claims.New(o.Self.ID),
		quarantine: quarantine.New(),
		health:     health.New(),
		owner:      owner.New(o.Self.ID, uint16(o.Seed)),
		counters:   counters.New(o.Self.ID),
		orders:     orders.New(o.Self.ID, o.Self.Domain),
		alive:      make(map[core.RouterID]bool),
		pending:    make(map[core.RouterID]*pendingMessages),
	}
	if o.Policy == PolicyBaseline {
		s.view.OwnAll()
		s.owner.PartitionSlots(max(o.Routers, 1))
	}
	if s.disabled(GrantReconciliation) {
		s.owner.DisableGrantExpiry()
	}
	s.entry = entry.New(o.Self.ID, s.view, &entryHooks{s})
	return s
}

// Step processes an event and returns the resulting effects.
func (s *State) Step(now time.Time, ev core.Event) []core.Effect {
	s.now, s.stepEffects = now, nil
	if s.steps.record(now) {
		// Messages that arrived during the pause are still unread; until they
		// are processed the view is outdated.
		s.owner.PauseGrantsUntil(now.Add(resumeHold))
		s.entry.ReturnGrantsUntil(now.Add(resumeHold))
	}
	if s.options.Disable != 0 {
		ev = s.filterEvent(ev)
	}
	s.handle(now, ev)
	s.finishStep(now)
	return s.stepEffects
}

// Wake returns the time at which the next Tick is due; zero if never.
func (s *State) Wake() time.Time {
	next := s.members.Wake()
	for _, t := range []time.Time{
		s.rollout.Wake(), s.claims.Wake(), s.entry.Wake(), s.owner.Wake(), s.drainWake(), s.orders.Wake(),
	} {
		next = timers.Earliest(next, t)
	}
	if s.options.Policy != PolicyBaseline {
		next = timers.Earliest(next, s.counters.Wake())
	}
	return next
}

func (s *State) handle(now time.Time, ev core.Event) {
	switch ev := ev.(type) {
	case core.RequestArrived:
		s.emit(s.entry.HandleArrival(now, ev))
	case core.CallerGone:
		s.emit(s.entry.HandleCallerGone(now, ev.Request))
	case core.AttemptFirstByte:
		s.emit(s.entry.HandleFirstByte(now, ev))
	case core.AttemptProgress:
		s.emit(s.entry.HandleProgress(now, ev))
	case core.AttemptDone:
		s.emit(s.entry.HandleDone(now, ev))
	case core.AttemptFailed:
		s.emit(s.entry.HandleFailure(now, ev))
	case core.Probed:
		s.emit(s.entry.HandleProbeResult(now, ev))
	case core.KVResult:
		s.stepClaims(now, ev)
		s.emit(s.orders.Step(now, ev))
	case core.LeaseResult, core.OrderResult, core.OrderQueryResult:
		s.emit(s.orders.Step(now, ev))
	case core.PeerMessage:
		s.handleMessage(now, ev.From, ev)
	case core.Instances:
		s.hasInstanceList = true
		s.view.SetUpstreams(ev.Upstreams)
		s.emit(s.members.Step(now, ev))
		s.viewChanged(now)
	case core.ConfigHead:
		s.emit(s.rollout.Step(now, ev))
		if s.disabled(GenerationGuard) && ev.Config != nil {
			s.emit([]core.Effect{core.ApplyConfig{Generation: ev.Generation, Config: ev.Config}})
		}
	case core.Drain:
		s.startDrain(now)
	case core.DrainExpired:
		s.emit(s.entry.AbortAll(now))
		s.drainSince, s.drainExpired = now.Add(-handoverFor), true
	case core.LiftQuarantine:
		s.emit(s.quarantine.Step(now, ev))
	case core.PeerUp, core.PeerDown, core.DialFailed:
		s.emit(s.members.Step(now, ev))
		if up, ok := ev.(core.PeerUp); ok {
			s.sendPending(core.RouterID(up.Member.Id))
			s.fetchListing(core.RouterID(up.Member.Id))
		}
		s.emit(s.rollout.Step(now, ev))
		s.emit(s.quarantine.Step(now, ev))
		s.stepClaims(now, ev)
	case core.Tick:
		s.tick(now, ev)
	}
}

func (s *State) tick(now time.Time, ev core.Tick) {
	s.emit(s.members.Step(now, ev))
	s.emit(s.rollout.Step(now, ev))
	s.emit(s.quarantine.Step(now, ev))
	s.stepClaims(now, ev)
	s.emit(s.entry.Tick(now))
	s.emit(s.owner.Tick(now))
	s.emit(s.orders.Step(now, ev))
	s.exchangeCounters(now)
}

func (s *State) handleMessage(now time.Time, from core.RouterID, ev core.PeerMessage) {
	if from != s.options.Self.ID {
		// Any message shows that the sender is alive.
		s.emit(s.members.Step(now, ev))
	}
	switch m := ev.Message.Body.(type) {
	case *wire.Envelope_Demand:
		s.emit(s.owner.HandleDemand(now, from, m.Demand))
	case *wire.Envelope_Grant:
		s.emit(s.entry.HandleGrant(now, from, m.Grant))
	case *wire.Envelope_Release:
		s.emit(s.owner.HandleRelease(now, from, m.Release))
	case *wire.Envelope_Progress:
		s.emit(s.owner.HandleProgress(now, from, m.Progress))
	case *wire.Envelope_ListingFetch:
		s.sendListing(from)
	case *wire.Envelope_Listing:
		s.acceptListing(now, m.Listing)
	case *wire.Envelope_Seek:
		s.entry.HandleSeek(now, from, m.Seek)
	case *wire.Envelope_CounterReport:
		totals := s.counters.MergeReport(now, from, m.CounterReport.Counters)
		s.emit([]core.Effect{core.SendPeer{To: from, Message: &wire.Envelope{Body: &wire.Envelope_CounterTotals{
			CounterTotals: &wire.CounterTotals{Totals: totals},
		}}}})
	case *wire.Envelope_CounterTotals:
		s.addRemoteCosts(s.counters.HandleTotals(from, m.CounterTotals.Totals, s.owner.LocalCost))
	case *wire.Envelope_ClaimQuery, *wire.Envelope_ClaimReply:
		s.stepClaims(now, ev)
	case *wire.Envelope_ConfigNotice, *wire.Envelope_ConfigFetch, *wire.Envelope_ConfigParts:
		s.emit(s.rollout.Step(now, ev))
	case *wire.Envelope_UpstreamNotice:
		s.emit(s.owner.HandleUpstreamNotice(now, m.UpstreamNotice.Upstream, m.UpstreamNotice.State))
	case *wire.Envelope_CrashNotice:
		s.emit(s.quarantine.Step(now, ev))
	}
}

// stepClaims passes an event to the claims reducer and its decisions to the
// entry.
func (s *State) stepClaims(now time.Time, ev core.Event) {
	effects, decisions := s.claims.Step(now, ev)
	s.emit(effects)
	for _, d := range decisions {
		s.emit(s.entry.HandleClaimDecision(now, d))
	}
}

// exchangeCounters exchanges service counters with other owners and asks
// entries for demand, once a period.
func (s *State) exchangeCounters(now time.Time) {
	if s.options.Policy == PolicyBaseline || !s.counters.Due(now) {
		return
	}
	s.expirePending()
	s.retryFetchListing()
	effects, remotes := s.counters.Report(now, s.owner.Report(), s.view.RouterIDs(), s.owner.LocalCost)
	s.emit(effects)
	s.addRemoteCosts(remotes)
	s.emit(s.owner.SolicitDemand(now, s.view.RouterIDs()))
}

func (s *State) addRemoteCosts(remotes []counters.RemoteService) {
	for _, r := range remotes {
		s.owner.AddRemoteCost(r.Service, r.Organisation, r.Cost, r.Backlogged)
	}
}

// emit adds effects to those of the step. Messages to this router itself are
// kept for drainLoopback, and messages without a connection wait for one.
func (s *State) emit(effects []core.Effect) {
	for _, e := range effects {
		if m, ok := e.(core.SendPeer); ok && m.To == s.options.Self.ID {
			s.loopback = append(s.loopback, m.Message)
			continue
		}
		if m, ok := e.(core.SendPeer); ok && s.queueUntilConnected(m) {
			continue
		}
		if a, ok := e.(core.ApplyConfig); ok {
			s.applyConfig(a.Config)
		}
		s.stepEffects = append(s.stepEffects, e)
	}
}

// finishStep delivers messages to this router until none is left, and then
// announces what still waits to other owners.
func (s *State) finishStep(now time.Time) {
	s.propagateChanges(now)
	s.drainLoopback(now)
	s.entry.AnnounceToOthers(now)
	s.drainLoopback(now)
	s.exitIfDrained(now)
}

// drainLoopback processes messages to this router itself until none is left.
func (s *State) drainLoopback(now time.Time) {
	for {
		s.emit(s.entry.Flush())
		if len(s.loopback) == 0 {
			return
		}
		messages := s.loopback
		s.loopback = nil
		for _, m := range messages {
			s.handleMessage(now, s.options.Self.ID, core.PeerMessage{From: s.options.Self.ID, Message: m})
		}
	}
}

func (s *State) applyConfig(c *config.Config) {
	s.entry.Configure(c)
	s.emit(s.owner.Configure(s.now, c))
	s.emit(s.orders.Configure(s.now, c))
}
