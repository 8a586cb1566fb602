package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/fair"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// service is what waits for one service and how it is shared.
type service struct {
	name    string
	slots   int
	batches bool
	queue   *fair.Queue
	// longCost is the mean expected cost of long work.
	longCost float64
	demand   map[string]map[entryClass]*demand // by organisation
}

type entryClass struct {
	entry core.RouterID
	class core.Class
}

type demand struct {
	waiting uint32
	oldest  time.Time
	prefer  string
	cost    uint64
	at      time.Time
}

func (s *State) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, slots: 1, queue: fair.New(), demand: make(map[string]map[entryClass]*demand)}
		s.services[name] = sv
	}
	return sv
}

// wait replaces an entry's word on one of its queues.
func (sv *service) wait(now time.Time, from core.RouterID, q *wire.Queue) {
	byEntry := sv.demand[q.Organisation]
	if byEntry == nil {
		byEntry = make(map[entryClass]*demand)
		sv.demand[q.Organisation] = byEntry
	}
	byEntry[entryClass{from, q.Class}] = &demand{
		waiting: q.Waiting,
		oldest:  now.Add(-time.Duration(q.OldestMs) * time.Millisecond),
		prefer:  q.Prefer,
		cost:    uint64(max(q.Cost, 1)),
		at:      now,
	}
	sv.refresh(q.Organisation)
}

// refresh tells the fair queue whether the organisation waits.
func (sv *service) refresh(org string) {
	waiting := false
	for _, d := range sv.demand[org] {
		waiting = waiting || d.waiting > 0
	}
	if !waiting {
		delete(sv.demand, org)
	}
	sv.queue.SetBacklogged(org, waiting)
}

func (sv *service) clear(org string, k entryClass) {
	if d := sv.demand[org][k]; d != nil {
		d.waiting = 0
		sv.refresh(org)
	}
}

func (sv *service) expire(now time.Time) {
	for org, byEntry := range sv.demand {
		for k, d := range byEntry {
			if now.Sub(d.at) > demandAge {
				delete(byEntry, k)
			}
		}
		sv.refresh(org)
	}
}
