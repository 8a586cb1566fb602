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
	group   group
}

// short is the key as it stands in reports between routers.
func (k queueKey) short() uint32 { return Key(k.service)*uint32(groups) + uint32(k.group) }

// queue holds the requests that wait, by organisation.
type queue struct {
	orgs map[string][]*request
	size int
	// work is the prompt time of all that waits.
	work time.Duration
	// shortAt is when a request last found no room.
	shortAt time.Time
	// drained is a moving average of the prompt time placed in a second.
	drained meterRate
}

// contendedFor is how long a lack of room is remembered. With less, organisations
// over their share were refused and admitted by turns, and the one that sent most
// got most of each opening; with much more, engines idle.
const contendedFor = 2 * time.Second

// contended reports whether requests wait here or found no room a moment ago.
func (q *queue) contended(now time.Time) bool {
	return q.size > 0 || !q.shortAt.IsZero() && now.Sub(q.shortAt) < contendedFor
}

// contended reports whether requests of a service and group find no room at some
// router.
func (s *State) contended(now time.Time, key queueKey) bool {
	if q := s.queues[key]; q != nil && q.contended(now) {
		return true
	}
	short := key.short()
	for _, p := range s.peers {
		if slices.Contains(p.Contended, short) {
			return true
		}
	}
	return false
}

// meterRate is an exponentially decaying rate.
type meterRate struct {
	value float64
	at    time.Time
}

// rateWindow is the time over which the placing of waiting work is averaged.
const rateWindow = time.Second

func (m *meterRate) add(now time.Time, amount float64) {
	m.value = m.read(now) + amount/rateWindow.Seconds()
	m.at = now
}

func (m *meterRate) read(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * max(0, 1-now.Sub(m.at).Seconds()/rateWindow.Seconds())
}

func (s *State) queue(r *request) *queue {
	key := queueKey{r.Service, r.group}
	q := s.queues[key]
	if q == nil {
		q = &queue{orgs: make(map[string][]*request)}
		s.queues[key] = q
		s.queueOrder = append(s.queueOrder, key)
		slices.SortFunc(s.queueOrder, func(a, b queueKey) int {
			return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.group, b.group))
		})
	}
	return q
}

// wait lets a request wait for room.
func (s *State) wait(r *request) {
	q := s.queue(r)
	q.orgs[r.Organisation] = append(q.orgs[r.Organisation], r)
	q.size++
	q.work += s.prefillTime(r.Prompt.Tokens)
	r.waiting = true
}

// unwait takes a request out of its queue.
func (s *State) unwait(r *request) {
	q := s.queue(r)
	list := q.orgs[r.Organisation]
	for i, other := range list {
		if other == r {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if q.orgs[r.Organisation] = list; len(list) == 0 {
		delete(q.orgs, r.Organisation)
	}
	q.size--
	q.work -= s.prefillTime(r.Prompt.Tokens)
	r.waiting = false
}

func (s *State) fillAll(now time.Time) {
	for _, key := range s.queueOrder {
		s.fillQueue(now, s.queues[key])
	}
}

// fill places what waits for a service.
func (s *State) fill(now time.Time, service string) {
	for g := range groups {
		if q := s.queues[queueKey{service, g}]; q != nil {
			s.fillQueue(now, q)
		}
	}
}

// fillQueue places what waits in a queue: the organisations with the least
// service first, and within one the oldest first. A request that finds no room
// does not hold up those of other organisations.
func (s *State) fillQueue(now time.Time, q *queue) {
	if q.size == 0 {
		return
	}
	full := false
	for _, org := range s.byService(now, q) {
		for _, r := range append([]*request(nil), q.orgs[org]...) {
			switch {
			case !now.Before(r.giveUp):
				s.unwait(r)
				s.refuse(now, r, ReasonWaited)
			case full && len(r.avoid) == 0:
				// Where one finds no room, no other of its kind does.
			case !s.trySend(now, r):
				full = true
			}
		}
	}
}

// byService orders the organisations that wait by the service they had.
func (s *State) byService(now time.Time, q *queue) []string {
	orgs := make([]string, 0, len(q.orgs))
	had := make(map[string]float64, len(q.orgs))
	for org := range q.orgs {
		orgs = append(orgs, org)
		had[org] = s.shares.charged(now, org)
	}
	sort.Slice(orgs, func(i, j int) bool {
		if had[orgs[i]] != had[orgs[j]] {
			return had[orgs[i]] < had[orgs[j]]
		}
		return orgs[i] < orgs[j]
	})
	return orgs
}
