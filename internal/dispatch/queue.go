package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// queueKey identifies a queue. Each workload class of a service has its own queue,
// because requests of one class do not wait for the upstreams of the other.
type queueKey struct {
	service string
	class   workloadClass
}

// wireKey returns the key that identifies the queue in reports between routers.
func (k queueKey) wireKey() uint32 { return Key(k.service)*uint32(classCount) + uint32(k.class) }

// queue holds the waiting requests of one service and workload class, by
// organisation.
type queue struct {
	byOrg map[string][]*request
	size  int
	// prefillWork is the total prefill time of the waiting requests.
	prefillWork time.Duration
	// lastFullAt is when a request last found no room.
	lastFullAt time.Time
	// drainRate is the moving average of the prefill time sent per second.
	drainRate rateMeter
}

// contentionHold is how long a queue counts as contended after a request found no
// room. If it is too short, organisations over their share are refused and admitted
// alternately, and the one that sends most gets most of the room that becomes free. If
// it is much longer, engines idle.
const contentionHold = 2 * time.Second

// contended reports whether requests wait here or found no room recently.
func (q *queue) contended(now time.Time) bool {
	return q.size > 0 || !q.lastFullAt.IsZero() && now.Sub(q.lastFullAt) < contentionHold
}

// contended reports whether requests of a service and workload class find no room at
// this router or a peer.
func (s *State) contended(now time.Time, key queueKey) bool {
	if q := s.queues[key]; q != nil && q.contended(now) {
		return true
	}
	wireKey := key.wireKey()
	for _, p := range s.peers {
		if slices.Contains(p.Contended, wireKey) {
			return true
		}
	}
	return false
}

// rateMeter is a moving average of a rate. It decays linearly to zero over rateWindow
// after the last addition.
type rateMeter struct {
	value float64
	at    time.Time
}

// rateWindow is the window over which the drain rate of a queue is averaged.
const rateWindow = time.Second

// add counts an amount at the time now.
func (m *rateMeter) add(now time.Time, amount float64) {
	m.value = m.read(now) + amount/rateWindow.Seconds()
	m.at = now
}

// read returns the rate per second at the time now.
func (m *rateMeter) read(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * max(0, 1-now.Sub(m.at).Seconds()/rateWindow.Seconds())
}

// queueFor returns the queue of a request's service and class, and creates it if needed.
func (s *State) queueFor(r *request) *queue {
	key := queueKey{r.Service, r.class}
	q := s.queues[key]
	if q == nil {
		q = &queue{byOrg: make(map[string][]*request)}
		s.queues[key] = q
		s.queueOrder = append(s.queueOrder, key)
		slices.SortFunc(s.queueOrder, func(a, b queueKey) int {
			return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.class, b.class))
		})
	}
	return q
}

// enqueue adds a request to its queue.
func (s *State) enqueue(r *request) {
	q := s.queueFor(r)
	q.byOrg[r.Organisation] = append(q.byOrg[r.Organisation], r)
	q.size++
	q.prefillWork += s.prefillTime(r.Prompt.Tokens)
	r.waiting = true
}

// dequeue removes a request from its queue.
func (s *State) dequeue(r *request) {
	q := s.queueFor(r)
	list := q.byOrg[r.Organisation]
	for i, other := range list {
		if other == r {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if q.byOrg[r.Organisation] = list; len(list) == 0 {
		delete(q.byOrg, r.Organisation)
	}
	q.size--
	q.prefillWork -= s.prefillTime(r.Prompt.Tokens)
	r.waiting = false
	s.releaseReservation(r)
}

// drainAllQueues sends waiting requests of all queues, as far as there is room.
func (s *State) drainAllQueues(now time.Time) {
	for _, key := range s.queueOrder {
		s.drainQueue(now, s.queues[key])
	}
}

// drainService sends waiting requests of a service, as far as there is room.
func (s *State) drainService(now time.Time, service string) {
	for class := range classCount {
		if q := s.queues[queueKey{service, class}]; q != nil {
			s.drainQueue(now, q)
		}
	}
}

// drainQueue sends waiting requests of a queue, as far as there is room: those of the
// organisation with the least charge first, and oldest first within an organisation.
// Once a request finds no room, those are not tried that have no other choice (see heldBack).
func (s *State) drainQueue(now time.Time, q *queue) {
	if q.size == 0 {
		return
	}
	var held heldBack
	for _, org := range s.orgsByCharge(now, q) {
		for _, r := range append([]*request(nil), q.byOrg[org]...) {
			switch {
			case !now.Before(r.queueDeadline):
				s.dequeue(r)
				s.refuse(now, r, ReasonWaited)
			case held.noRoom(r):
				// An earlier request found no room, and this one has no other choice.
			case held.noMemory(r):
				// An earlier one that needs no more found no memory.
				s.reserveMemory(now, r)
			case s.trySend(now, r):
			case s.shortOfMemory:
				s.reserveMemory(now, r)
				held.addMemory(r)
			default:
				held.addRoom(r, s.engine(r.Service) != nil)
			}
		}
	}
}

// orgsByCharge returns the organisations with waiting requests, least charged first.
func (s *State) orgsByCharge(now time.Time, q *queue) []string {
	orgs := make([]string, 0, len(q.byOrg))
	charged := make(map[string]float64, len(q.byOrg))
	for org := range q.byOrg {
		orgs = append(orgs, org)
		charged[org] = s.shares.charged(now, org)
	}
	sort.Slice(orgs, func(i, j int) bool {
		if charged[orgs[i]] != charged[orgs[j]] {
			return charged[orgs[i]] < charged[orgs[j]]
		}
		return orgs[i] < orgs[j]
	})
	return orgs
}
