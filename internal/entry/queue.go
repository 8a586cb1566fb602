package entry

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/placement"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// spillAfter is how long a request waits for a slot in its own failure
	// domain before owners in other domains are asked too.
	spillAfter = 10 * time.Millisecond
	// ownersPerRound is the number of additional owners, near and far each,
	// that are asked in a round. firstRoundInterval is the time between the
	// first two rounds. It doubles with each round, since a grant that is
	// returned unused costs two messages.
	ownersPerRound     = 4
	firstRoundInterval = 25 * time.Millisecond
	// maxAskedOwners limits the owners, near and far each, that are asked at a
	// time. If there are more, a different group of them is asked every
	// repeatAfter.
	maxAskedOwners = 8
	// repeatAfter is the interval at which demand is repeated once all owners
	// were asked, in case messages were lost.
	repeatAfter = 5 * time.Second
	// rateWindow is the period over which grants to a queue are counted.
	rateWindow = 4 * time.Second
	// minGrantsForRate is the number of grants in the window from which the
	// rate is used for predictions.
	minGrantsForRate = 8
)

type queueKey struct {
	service, organisation string
	class                 core.Class
}

// queue holds the waiting requests of one service, organisation and class,
// oldest first.
type queue struct {
	requests []*request
	// announced is the demand that each owner was last told of.
	announced map[core.RouterID]*announcement
	// near and far are the owners in this router's failure domain and in
	// others, in the order in which they are asked; nil after the set of owners
	// has changed.
	near, far []core.RouterID
	// round counts how often more owners were asked since the queue was last
	// empty.
	round int
	// nextRoundAt is when the next round is due.
	nextRoundAt time.Time
	// grants are the times of recent grants.
	grants []time.Time
}

// announcement is the number of waiting requests that an owner was told of,
// less the grants that it made since, and the time of the message.
type announcement struct {
	count int
	at    time.Time
}

func (q *queue) len() int { return len(q.requests) }

func (q *queue) resetOwners() {
	q.announced = make(map[core.RouterID]*announcement)
	q.near, q.far = nil, nil
}

func (q *queue) recordGrant(now time.Time, owner core.RouterID) {
	if a := q.announced[owner]; a != nil && a.count > 0 {
		a.count--
	}
	q.grants = append(q.grants, now)
	for len(q.grants) > 0 && now.Sub(q.grants[0]) > rateWindow {
		q.grants = q.grants[1:]
	}
}

// waitAt predicts how long a request at the given position will wait; zero if
// there were too few recent grants to tell.
func (q *queue) waitAt(now time.Time, position int) time.Duration {
	recent := 0
	for _, at := range q.grants {
		if now.Sub(at) <= rateWindow {
			recent++
		}
	}
	if recent < minGrantsForRate {
		return 0
	}
	return time.Duration(float64(position) / float64(recent) * float64(rateWindow))
}

func (s *State) queue(k queueKey) *queue {
	q := s.queues[k]
	if q == nil {
		q = &queue{announced: make(map[core.RouterID]*announcement)}
		s.queues[k] = q
	}
	return q
}

func (r *request) key() queueKey { return queueKey{r.Service, r.Organisation, r.class} }

// enqueue appends a request to its queue, or restores its position by arrival
// time if it is requeued.
func (s *State) enqueue(now time.Time, r *request, requeued bool) {
	r.state = stateWaiting
	k := r.key()
	q := s.queue(k)
	q.requests = append(q.requests, r)
	if requeued {
		sort.SliceStable(q.requests, func(i, j int) bool { return q.requests[i].arrived.Before(q.requests[j].arrived) })
		s.timers.Add(r.deadline, timer{request: r.Request})
	}
	s.announce(now, k)
}

func (s *State) dequeue(r *request) {
	q := s.queue(r.key())
	for i, queued := range q.requests {
		if queued == r {
			q.requests = append(q.requests[:i], q.requests[i+1:]...)
			return
		}
	}
}

// takeFor removes and returns the oldest request that may go to an upstream;
// nil if there is none.
func (q *queue) takeFor(now time.Time, upstream string) *request {
	for i, r := range q.requests {
		if !r.avoids(now, upstream) {
			q.requests = append(q.requests[:i:i], q.requests[i+1:]...)
			return r
		}
	}
	return nil
}

// announce reports a queue's demand to this router's own owner, and marks it
// for AnnounceToOthers. The local owner comes first because its grants cost no
// message.
func (s *State) announce(now time.Time, k queueKey) {
	q := s.queue(k)
	if q.len() == 0 {
		return
	}
	s.orderOwners(k, q)
	if slices.Contains(q.near, s.self) {
		s.sendDemand(now, k, q, s.self)
	}
	s.unannounced[k] = true
}

// AnnounceToOthers reports demand to other owners for the requests that still
// wait once this router's own slots are granted. It starts with a few owners in
// the same failure domain and adds more in each round, including other domains.
// So requests that wait long become known to many owners in a fleet of any
// size, while requests that are served at once cost no message.
func (s *State) AnnounceToOthers(now time.Time) {
	for _, k := range sortedKeys(s.unannounced) {
		delete(s.unannounced, k)
		q := s.queue(k)
		if q.len() == 0 {
			q.round = 0
			continue
		}
		s.orderOwners(k, q)
		for _, owner := range ownerWindow(q.near, (q.round+1)*ownersPerRound, q.windowIndex()) {
			s.sendDemand(now, k, q, owner)
		}
		for _, owner := range ownerWindow(q.far, q.maxFarOwners(now), q.windowIndex()) {
			s.sendDemand(now, k, q, owner)
		}
		s.scheduleRound(now, k, q)
	}
}

// HandleSeek reports the demand for an idle owner's services to it.
func (s *State) HandleSeek(now time.Time, owner core.RouterID, m *wire.Seek) {
	idle := make(map[string]bool, len(m.Idle))
	for _, i := range m.Idle {
		idle[i.Service] = true
	}
	waiting := make(map[queueKey]bool)
	for k, q := range s.queues {
		waiting[k] = idle[k.service] && q.len() > 0
	}
	for _, k := range sortedKeys(waiting) {
		if waiting[k] {
			s.sendDemand(now, k, s.queue(k), owner)
		}
	}
}

// maxFarOwners returns how many owners in other failure domains may be asked by
// now.
func (q *queue) maxFarOwners(now time.Time) int {
	if len(q.near) == 0 {
		return (q.round + 1) * ownersPerRound
	}
	if now.Sub(q.requests[0].arrived) < spillAfter {
		return 0
	}
	return q.round * ownersPerRound
}

// orderOwners sorts the owners of a service into an order specific to this
// queue, so that the queues of a fleet do not all ask the same owners first.
func (s *State) orderOwners(k queueKey, q *queue) {
	if q.near != nil || q.far != nil {
		return
	}
	near, far := s.view.Owners(k.service)
	key := k.service + "/" + k.organisation + "/" + string(s.self)
	q.near, q.far = placement.Rank(key, near), placement.Rank(key, far)
}

// ownerWindow returns the n owners, at most maxAskedOwners, of the window with
// the given index.
func ownerWindow(owners []core.RouterID, n, index int) []core.RouterID {
	n = min(n, maxAskedOwners, len(owners))
	if len(owners) <= maxAskedOwners {
		return owners[:n]
	}
	out := make([]core.RouterID, n)
	for i := range out {
		out[i] = owners[(index*maxAskedOwners+i)%len(owners)]
	}
	return out
}

// windowIndex returns how often the window of asked owners has moved.
func (q *queue) windowIndex() int { return max(0, q.round-maxAskedOwners/ownersPerRound) }

func sortedKeys(m map[queueKey]bool) []queueKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b queueKey) int {
		return cmp.Or(
			cmp.Compare(a.service, b.service),
			cmp.Compare(a.organisation, b.organisation),
			cmp.Compare(a.class, b.class),
		)
	})
}

// scheduleRound sets the timer for the next round.
func (s *State) scheduleRound(now time.Time, k queueKey, q *queue) {
	if q.nextRoundAt.After(now) {
		return
	}
	switch {
	case q.round == 0:
		q.nextRoundAt = now.Add(spillAfter)
	case q.round*ownersPerRound < min(maxAskedOwners, max(len(q.near), len(q.far))):
		q.nextRoundAt = now.Add(firstRoundInterval << (q.round - 1))
	default:
		// All queues repeat their demand at the same time, so that each owner
		// gets it in one message.
		q.nextRoundAt = now.Add(-s.demandPhase).Truncate(repeatAfter).Add(s.demandPhase + repeatAfter)
	}
	s.timers.Add(q.nextRoundAt, timer{queue: k})
}

// startNextRound announces requests that still wait to more owners.
func (s *State) startNextRound(now time.Time, k queueKey) {
	q := s.queue(k)
	if q.len() == 0 {
		q.round = 0
		return
	}
	q.round++
	s.announce(now, k)
}

// sendDemand reports a queue's demand to an owner, unless the last report to
// that owner is recent and the queue is at most twice as long as it said.
func (s *State) sendDemand(now time.Time, k queueKey, q *queue, owner core.RouterID) {
	previous := q.announced[owner]
	if previous == nil {
		previous = &announcement{}
		q.announced[owner] = previous
	}
	fresh := now.Sub(previous.at) < repeatAfter
	if fresh && previous.count > 0 && q.len() <= 2*previous.count {
		return
	}
	previous.count, previous.at = q.len(), now
	head := q.requests[0]
	s.outbox.addDemand(owner, k.service, &wire.Queue{
		Organisation: k.organisation, Class: k.class,
		Waiting:  uint32(q.len()),
		OldestMs: uint32(now.Sub(head.arrived).Milliseconds()),
		Cost:     uint32(min(head.expectedCost, 1<<31)),
		Prefer:   s.preferredUpstream(head),
	})
}

// preferredUpstream returns the upstream that is likely to have the prompt's
// prefix cached.
func (s *State) preferredUpstream(r *request) string {
	if r.PrefixHash == 0 {
		return ""
	}
	ups := s.view.Upstreams(r.Service)
	if len(ups) == 0 {
		return ""
	}
	return ups[r.PrefixHash%uint64(len(ups))].ID
}
