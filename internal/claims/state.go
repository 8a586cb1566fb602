package claims

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// The times that bound the wait of a request or a write.
const (
	// decisionTimeout is how long a claim may take to settle.
	decisionTimeout = 3 * time.Second
	// queryTimeout is how long a holder may take to answer; askEvery is how often
	// it is asked, since messages get lost.
	queryTimeout  = time.Second
	queryInterval = 300 * time.Millisecond
	// backoffMin and backoffMax bound the wait before a key-value call is
	// repeated.
	backoffMin = 50 * time.Millisecond
	backoffMax = 5 * time.Second
)

// opSpace marks the operation ids of this package.
const opSpace = core.OpID(1) << 56

// State holds the claims of one router. It is not safe for concurrent use.
type State struct {
	self   core.RouterID
	serial uint64
	lastOp core.OpID
	// byKey and byRequest hold the claims that were not finished or given up.
	byKey     map[string]*claim
	byRequest map[core.RequestID]*claim
	// pendingOutcomes holds outcomes that are not yet in the store.
	pendingOutcomes    map[string]*recordUpdate
	pendingAnswerBytes int
	// activeUpdates counts the amendments under way.
	activeUpdates int
	ops           map[core.OpID]resultHandler
	timers        timers
	neverSent     tombstones
	out           output
	mutations     mutations
}

// resultHandler takes the result of the key-value call that it waits for.
type resultHandler interface {
	handleResult(s *State, now time.Time, r core.KVResult)
	handleTimeout(s *State, now time.Time)
	// wakeAt is when timeout is due; zero if it is not.
	wakeAt() time.Time
}

// output collects what one call brings about.
type output struct {
	effects   []core.Effect
	decisions []Decision
}

// mutations switch off one mechanism each, for tests that show that the checks
// notice it. They are never set outside tests.
type mutations struct {
	// ignoreNonce proceeds on any record, whoever made it.
	ignoreNonce bool
	// acceptLateResult lets a late answer settle a claim that was given up.
	acceptLateResult bool
	// takeOverUnconfirmed takes a record over when its holder does not answer.
	takeOverUnconfirmed bool
	// releaseOtherRecord removes the record that was in a claim's way, not its own.
	releaseOtherRecord bool
}

// New returns a router's state, which knows nothing of earlier incarnations.
func New(self core.RouterID) *State {
	return &State{
		self:            self,
		byKey:           map[string]*claim{},
		byRequest:       map[core.RequestID]*claim{},
		pendingOutcomes: map[string]*recordUpdate{},
		ops:             map[core.OpID]resultHandler{},
		neverSent:       newTombstones(maxTombstones),
	}
}

// Begin starts the claim of a request that has been granted a slot. A decision
// comes at once or from a later Step.
func (s *State) Begin(now time.Time, a core.Arrive) ([]core.Effect, []Decision) {
	if s.byRequest[a.Request] != nil {
		panic(fmt.Sprintf("claims: request %s began twice", a.Request))
	}
	key, body := Key(a.Organisation, a.Service, a.Key), hex.EncodeToString(a.Body[:])
	if d, ok := s.decideLocally(a.Request, key, body); ok {
		s.out.decisions = append(s.out.decisions, d)
		return s.takeOutput()
	}
	s.serial++
	c := &claim{
		serial: s.serial, key: key, body: body, request: a.Request,
		nonce:    string(s.self) + "/" + strconv.FormatUint(s.serial, 10),
		deadline: now.Add(decisionTimeout),
	}
	if !a.Deadline.IsZero() && a.Deadline.Before(c.deadline) {
		c.deadline = a.Deadline
	}
	s.byKey[key], s.byRequest[a.Request] = c, c
	c.writeRecord(s, 0)
	return s.takeOutput()
}

// decideLocally answers from what this router knows of the same operation.
func (s *State) decideLocally(r core.RequestID, key, body string) (Decision, bool) {
	if c := s.byKey[key]; c != nil {
		if c.body != body {
			return refuseKeyReused(r), true
		}
		return refuseInProgress(r), true
	}
	if u := s.pendingOutcomes[key]; u != nil {
		return s.decideFromRecord(r, u.final, body)
	}
	return Decision{}, false
}

// decideFromRecord answers from a record that says how the operation ended; false if
// it is still claimed.
func (s *State) decideFromRecord(r core.RequestID, rec *record, body string) (Decision, bool) {
	switch {
	case rec.Body != body:
		return refuseKeyReused(r), true
	case rec.State == stateDone && rec.Answer == nil:
		return refuseTooLarge(r), true
	case rec.State == stateDone:
		return replay(r, rec.Status, *rec.Answer), true
	case rec.State == stateMaybe:
		return refuseUnknown(r, 0), true
	default:
		return Decision{}, false
	}
}

// Step takes the events that concern claims; others change nothing.
func (s *State) Step(now time.Time, ev core.Event) ([]core.Effect, []Decision) {
	switch ev := ev.(type) {
	case core.KVResult:
		if h := s.ops[ev.Op]; h != nil {
			delete(s.ops, ev.Op)
			h.handleResult(s, now, ev)
		}
	case core.PeerMessage:
		s.handlePeerMessage(ev)
	case core.PeerDown:
		s.handlePeerDown(ev.Peer)
	case core.Tick:
		s.fireTimers(now)
	}
	return s.takeOutput()
}

// fireTimers wakes what is due.
func (s *State) fireTimers(now time.Time) {
	for {
		h, ok := s.timers.pop(now)
		if !ok {
			return
		}
		h.handleTimeout(s, now)
	}
}

// Wake returns when the next Tick is due; zero if none is.
func (s *State) Wake() time.Time { return s.timers.next() }

// Pending returns how many outcomes are not yet in the store. A router that
// drains waits until there are none.
func (s *State) Pending() int { return len(s.pendingOutcomes) }

// takeOutput hands over what has come about.
func (s *State) takeOutput() ([]core.Effect, []Decision) {
	out := s.out
	s.out = output{}
	return out.effects, out.decisions
}

func (s *State) emit(e core.Effect) { s.out.effects = append(s.out.effects, e) }

// newOp allocates the id of a key-value call whose result h awaits.
func (s *State) newOp(h resultHandler) core.OpID {
	s.lastOp++
	op := opSpace | s.lastOp
	s.ops[op] = h
	return op
}

// backoff is the wait before the try after n failed ones.
func backoff(n int) time.Duration {
	d := backoffMin
	for ; n > 1 && d < backoffMax; n-- {
		d *= 2
	}
	return min(d, backoffMax)
}
