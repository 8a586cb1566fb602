package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// queueKey names a queue: one for each service and group, since what waits in
// one group does not wait for the upstreams of the other.
type queueKey struct {
	service string
	class   workloadClass
}

// wireKey is the key as it stands in reports between routers.
func (k queueKey) wireKey() uint32 { return Key(k.service)*uint32(classCount) + uint32(k.class) }

// queue holds the requests that wait, by organisation.
type queue struct {
	byOrg map[string][]*request
	size  int
	// prefillWork is the prompt time of all that waits.
	prefillWork time.Duration
	// lastFullAt is when a request last found no room.
	lastFullAt time.Time
	// drainRate is a moving average of the prompt time placed in a second.
	drainRate rateMeter
}

// contentionHold is how long a lack of room is remembered. With less, organisations
// over their share were refused and admitted by turns, and the one that sent most
// got most of each opening; with much more, engines idle.
const contentionHold = 2 * time.Second

// contended reports whether requests wait here or found no room a moment ago.
func (q *queue) contended(now time.Time) bool {
	return q.size > 0 || !q.lastFullAt.IsZero() && now.Sub(q.lastFullAt) < contentionHold
}

// contended reports whether requests of a service and group find no room at some
// router.
func (s *State) contended(now time.Time, key queueKey) bool {
	if q := s.queues[key]; q != nil && q.contended(now) {
		return true
	}
	short := key.wireKey()
	for _, p := range s.peers {
		if slices.Contains(p.Contended, short) {
			return true
		}
	}
	return false
}

// rateMeter is an exponentially decaying rate.
type rateMeter struct {
	value float64
	at    time.Time
}

// rateWindow is the time over which the placing of waiting work is averaged.
const rateWindow = time.Second

func (m *rateMeter) add(now time.Time, amount float64) {
	m.value = m.read(now) + amount/rateWindow.Seconds()
	m.at = now
}

func (m *rateMeter) read(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * max(0, 1-now.Sub(m.at).Seconds()/rateWindow.Seconds())
}

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

// enqueue lets a request wait for room.
func (s *State) enqueue(r *request) {
	q := s.queueFor(r)
	q.byOrg[r.Organisation] = append(q.byOrg[r.Organisation], r)
	q.size++
	q.prefillWork += s.prefillTime(r.Prompt.Tokens)
	r.waiting = true
}

// dequeue takes a request out of its queue.
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
}

func (s *State) drainAllQueues(now time.Time) {
	for _, key := range s.queueOrder {
		s.drainQueue(now, s.queues[key])
	}
}

// drainService places what waits for a service.
func (s *State) drainService(now time.Time, service string) {
	for g := range classCount {
		if q := s.queues[queueKey{service, g}]; q != nil {
			s.drainQueue(now, q)
		}
	}
}

// drainQueue places what waits in a queue: the organisations with the least
// service first, and within one the oldest first. A request that finds no room
// does not hold up those of other organisations.
func (s *State) drainQueue(now time.Time, q *queue) {
	if q.size == 0 {
		return
	}
	full := false
	for _, org := range s.orgsByCharge(now, q) {
		for _, r := range append([]*request(nil), q.byOrg[org]...) {
			switch {
			case !now.Before(r.queueDeadline):
				s.dequeue(r)
				s.refuse(now, r, ReasonWaited)
			case full && len(r.failedUpstreams) == 0:
				// Where one finds no room, no other of its kind does.
			case !s.trySend(now, r):
				full = true
			}
		}
	}
}

// orgsByCharge orders the organisations that wait by the service they had.
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
