package orders

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/timers"
)

// State is one router's state for the orders of its failure domain. It is not
// safe for concurrent use.
type State struct {
	self   core.RouterID
	domain string
	lastOp core.OpID
	// candidate means that this router is the one of its failure domain that
	// tries to acquire the lease.
	candidate bool
	// services holds, by name, the services that have a desired state.
	services  map[string]service
	upstreams []core.Upstream
	// engines holds, by id, the upstreams that have a desired state.
	engines   map[string]*engine
	lease     lease
	effects   []core.Effect
	mutations mutations
}

// service is the desired state of a service's upstreams.
type service struct {
	// desired is the body of the order for the desired state.
	desired string
	// checksFencing means that the upstreams refuse orders with an old fencing
	// token.
	checksFencing bool
}

// mutations disable one safety mechanism each, for tests that show that the
// checks notice its absence. They are never set outside tests.
type mutations struct {
	// keepToken takes the stored fencing token without raising it.
	keepToken bool
	// skipConfirm gives orders without confirming the lease.
	skipConfirm bool
	// skipTakeoverDelay gives orders to every engine as soon as the lease is held.
	skipTakeoverDelay bool
	// skipHoldPeriod gives orders regardless of the age of the last renewal.
	skipHoldPeriod bool
	// skipReread does not read an engine again for an hour after an order.
	skipReread bool
}

// New returns the state of a router that has just started.
func New(self core.RouterID, domain string) *State {
	return &State{self: self, domain: domain, engines: map[string]*engine{}}
}

// Configure sets the desired states according to a configuration.
func (s *State) Configure(now time.Time, c *config.Config) []core.Effect {
	s.services = make(map[string]service)
	for _, sv := range c.Services {
		if len(sv.Load) > 0 {
			s.services[sv.Name] = service{desired: loadBody(sv.Load), checksFencing: sv.ChecksFencing}
		}
	}
	return s.rebuildEngines(now)
}

// loadBody returns the body of an order to have exactly these names loaded.
func loadBody(names []string) string {
	body, err := json.Marshal(slices.Sorted(slices.Values(names)))
	if err != nil {
		panic(err) // strings only
	}
	return string(body)
}

// SetView sets the upstreams and whether this router is the one of its failure
// domain that tries to acquire the lease.
func (s *State) SetView(now time.Time, candidate bool, upstreams []core.Upstream) []core.Effect {
	s.candidate = candidate
	s.upstreams = upstreams
	return s.rebuildEngines(now)
}

// rebuildEngines recomputes the engines from the services and upstreams. An
// engine whose address is unchanged keeps its state, and is read at once if its
// desired state has changed.
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

// Step handles the events that concern orders and ignores all others. After any
// event it starts what is due.
func (s *State) Step(now time.Time, ev core.Event) []core.Effect {
	switch ev := ev.(type) {
	case core.LeaseResult:
		s.handleCallResult(now, callResult{op: ev.Op, status: ev.Status, lease: ev.Lease})
	case core.KVResult:
		s.handleCallResult(now, callResult{op: ev.Op, status: ev.Status, value: ev.Value, index: ev.Index})
	case core.OrderQueryResult:
		s.handleRead(now, ev)
	case core.OrderResult:
		s.handleOrderResult(now, ev)
	}
	return s.runDue(now)
}

// runDue starts the calls and reads that are due, and returns the collected
// effects.
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

// wantsLease reports whether this router should hold the lease. For a failure
// domain without desired states no key-value call is made.
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
