package claims

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// Timeouts and intervals of claims and record updates.
const (
	// decisionTimeout is how long a claim may take until it is decided.
	decisionTimeout = 3 * time.Second
	// queryTimeout is how long a holder may take to reply. queryInterval is the
	// time after which the query is repeated, since messages get lost.
	queryTimeout  = time.Second
	queryInterval = 300 * time.Millisecond
	// backoffMin and backoffMax bound the exponential backoff after a key-value
	// call that got no answer.
	backoffMin = 50 * time.Millisecond
	backoffMax = 5 * time.Second
)

// opSpace is the high part of this package's operation ids, which keeps them
// apart from those of other packages.
const opSpace = core.OpID(1) << 56

// State holds the claims of one router. It is not safe for concurrent use.
type State struct {
	self core.RouterID
	// serial is the number of the latest claim.
	serial uint64
	lastOp core.OpID
	// byKey and byRequest hold the claims that have not ended.
	byKey     map[string]*claim
	byRequest map[core.RequestID]*claim
	// pendingOutcomes holds, by key, the outcomes that are not yet in the store.
	pendingOutcomes map[string]*recordUpdate
	// pendingAnswerBytes is the total size of the answers in pendingOutcomes.
	pendingAnswerBytes int
	// activeUpdates counts the record updates in progress.
	activeUpdates int
	// ops holds the handlers of the key-value calls in flight.
	ops    map[core.OpID]resultHandler
	timers timers
	// neverSent holds the nonces that were declared never sent.
	neverSent tombstones
	out       output
	mutations mutations
}

// resultHandler is a claim or a record update that waits for the result of a
// key-value call or for a timeout.
type resultHandler interface {
	handleResult(s *State, now time.Time, r core.KVResult)
	handleTimeout(s *State, now time.Time)
	// wakeAt returns when handleTimeout is due; zero if it is not.
	wakeAt() time.Time
}

// output collects the effects and decisions of one call of the reducer.
type output struct {
	effects   []core.Effect
	decisions []Decision
}

// mutations disable one safety mechanism each, for tests that show that the
// checks notice its absence. They are never set outside tests.
type mutations struct {
	// ignoreNonce grants a claim on any record that was read, whatever its nonce.
	ignoreNonce bool
	// acceptLateResult handles a late result as if its claim had not ended.
	acceptLateResult bool
	// takeOverUnconfirmed takes a record over when its holder does not reply.
	takeOverUnconfirmed bool
	// releaseOtherRecord removes another attempt's record instead of the claim's
	// own.
	releaseOtherRecord bool
}

// New returns the state of a router that has just started, without the claims of
// earlier incarnations.
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

// Begin starts the claim of a request that has been granted a slot. The decision
// is returned at once or by a later Step.
func (s *State) Begin(now time.Time, a core.RequestArrived) ([]core.Effect, []Decision) {
	if s.byRequest[a.Request] != nil {
		panic(fmt.Sprintf("claims: request %s began twice", a.Request))
	}
	key, body := Key(a.Organisation, a.Service, a.Key), hex.EncodeToString(a.Fingerprint[:])
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

// decideLocally decides a request from this router's own claims and pending
// outcomes of the same operation; false if there are none.
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

// decideFromRecord decides a request from a record that has another body or
// tells how the operation ended; false if the operation is still claimed.
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

// Step handles the events that concern claims and ignores all others.
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

// fireTimers calls the handlers whose timeout is due.
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

// PendingOutcomes returns the number of outcomes that are not yet in the store. A router
// that drains waits until there are none.
func (s *State) PendingOutcomes() int { return len(s.pendingOutcomes) }

// takeOutput returns the collected effects and decisions and clears them.
func (s *State) takeOutput() ([]core.Effect, []Decision) {
	out := s.out
	s.out = output{}
	return out.effects, out.decisions
}

func (s *State) emit(e core.Effect) { s.out.effects = append(s.out.effects, e) }

// newOp returns the id for a new key-value call and registers h for its result.
func (s *State) newOp(h resultHandler) core.OpID {
	s.lastOp++
	op := opSpace | s.lastOp
	s.ops[op] = h
	return op
}

// backoff returns the wait after n failed calls: backoffMin for the first,
// doubled for each further one up to backoffMax.
func backoff(n int) time.Duration {
	d := backoffMin
	for ; n > 1 && d < backoffMax; n-- {
		d *= 2
	}
	return min(d, backoffMax)
}
