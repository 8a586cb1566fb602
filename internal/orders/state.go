package orders

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
)

// State is what one router knows of its failure domain's orders. It is not safe
// for concurrent use.
type State struct {
	self   core.RouterID
	domain string
	lastOp core.OpID
	// candidate means that this router is the one to ask for the lease.
	candidate bool
	services  map[string]service
	upstreams []core.Upstream
	// engines are the upstreams that have a wanted state, by id.
	engines   map[string]*engine
	lease     lease
	effects   []core.Effect
	mutations mutations
}

// service is what a service's upstreams should have loaded.
type service struct {
	desired string
	// checksFencing means that they refuse orders with an old fencing number.
	checksFencing bool
}

// mutations switch off one mechanism each, for tests that show that the checks
// notice it. They are never set outside tests.
type mutations struct {
	// keepNumber takes the stored fencing number without raising it.
	keepNumber bool
	// skipConfirm gives orders without confirming the lease.
	skipConfirm bool
	// skipTakeoverDelay gives orders as soon as the lease is acquired.
	skipTakeoverDelay bool
	// skipHoldPeriod gives orders however old the last renewal is.
	skipHoldPeriod bool
	// skipReread orders an engine once and does not look at it again.
	skipReread bool
}

// New returns the state of a router that has just started, without memory.
func New(self core.RouterID, domain string) *State {
	return &State{self: self, domain: domain, engines: map[string]*engine{}}
}

// Configure takes the wanted states from a configuration.
func (s *State) Configure(now time.Time, c *config.Config) []core.Effect {
	s.services = make(map[string]service)
	for _, sv := range c.Services {
		if len(sv.Load) > 0 {
			s.services[sv.Name] = service{desired: loadBody(sv.Load), checksFencing: sv.ChecksFencing}
		}
	}
	return s.rebuildEngines(now)
}

// loadBody is the body of an order to have just these names loaded.
func loadBody(names []string) string {
	body, err := json.Marshal(slices.Sorted(slices.Values(names)))
	if err != nil {
		panic(err) // strings only
	}
	return string(body)
}

// SetView takes the upstreams and whether this router is the one of its failure
// domain that asks for the lease.
func (s *State) SetView(now time.Time, candidate bool, upstreams []core.Upstream) []core.Effect {
	s.candidate = candidate
	s.upstreams = upstreams
	return s.rebuildEngines(now)
}

// rebuildEngines works out the engines anew. One whose address and wanted state stay
// the same keeps its state.
func (s *State) rebuildEngines(now time.Time) []core.Effect {
	before := s.engines
	s.engines = make(map[string]*engine)
	for _, u := range s.upstreams {
		sv, ordered := s.services[u.Service]
		if !ordered || u.Domain != s.domain || u.State != core.UpstreamUp {
			continue
		}
		e := before[u.ID]
		if e == nil || e.addr != u.Addr {
			e = &engine{id: u.ID, addr: u.Addr}
		}
		e.setDesired(now, sv)
		s.engines[u.ID] = e
	}
	return s.runDue(now)
}

// Step takes the events that concern orders; others change nothing.
func (s *State) Step(now time.Time, ev core.Event) []core.Effect {
	switch ev := ev.(type) {
	case core.LeaseResult:
		s.handleCallResult(now, callResult{op: ev.Op, status: ev.Status, lease: ev.Lease})
	case core.KVResult:
		s.handleCallResult(now, callResult{op: ev.Op, status: ev.Status, value: ev.Value, index: ev.Index})
	case core.OrdersSeen:
		s.handleRead(now, ev)
	case core.OrderResult:
		s.handleOrderResult(now, ev)
	}
	return s.runDue(now)
}

// runDue does what is due and hands over the effects.
func (s *State) runDue(now time.Time) []core.Effect {
	if s.wantsLease() {
		s.makeDueCall(now)
		s.readDueEngines(now)
	} else {
		s.releaseLease()
	}
	out := s.effects
	s.effects = nil
	return out
}

// wantsLease reports whether this router has orders to give. A domain without
// wanted states costs the key-value service no call.
func (s *State) wantsLease() bool { return s.candidate && len(s.engines) > 0 }

// Wake returns when the next Tick is due; zero if none is.
func (s *State) Wake() time.Time {
	if !s.wantsLease() {
		return time.Time{}
	}
	var next time.Time
	if s.lease.op == 0 {
		next = s.lease.callAt
	}
	if s.lease.nextCall != callRenew {
		return next
	}
	for _, e := range s.engines {
		if e.op == 0 {
			next = timers.Earliest(next, e.readAt)
		}
	}
	return next
}

func (s *State) emit(e core.Effect) { s.effects = append(s.effects, e) }

func (s *State) newOp() core.OpID {
	s.lastOp++
	return opSpace | s.lastOp
}
