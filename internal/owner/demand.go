package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/fair"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// service holds the demand for one service and the fair queue that shares it.
type service struct {
	name               string
	slots              int
	continuousBatching bool
	queue              *fair.Queue
	// meanLongCost is the moving average of the expected cost of long work.
	meanLongCost float64
	demand       map[string]map[demandKey]*demand // by organisation
}

// demandKey identifies the queue of an organisation at an entry.
type demandKey struct {
	entry core.RouterID
	class core.Class
}

// demand is what an entry reported for one of its queues.
type demand struct {
	waiting      uint32
	oldest       time.Time
	preferred    string
	expectedCost uint64
	receivedAt   time.Time
}

func (s *State) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, slots: 1, queue: fair.New(), demand: make(map[string]map[demandKey]*demand)}
		s.services[name] = sv
	}
	return sv
}

// setDemand replaces the demand that an entry reported for one of its queues.
func (sv *service) setDemand(now time.Time, from core.RouterID, q *wire.Queue) {
	byEntry := sv.demand[q.Organisation]
	if byEntry == nil {
		byEntry = make(map[demandKey]*demand)
		sv.demand[q.Organisation] = byEntry
	}
	byEntry[demandKey{from, q.Class}] = &demand{
		waiting:      q.Waiting,
		oldest:       now.Add(-time.Duration(q.OldestMs) * time.Millisecond),
		preferred:    q.Prefer,
		expectedCost: uint64(max(q.Cost, 1)),
		receivedAt:   now,
	}
	sv.updateBacklogged(q.Organisation)
}

// updateBacklogged tells the fair queue whether the organisation has waiting
// requests, and removes its demand if not.
func (sv *service) updateBacklogged(org string) {
	waiting := false
	for _, d := range sv.demand[org] {
		waiting = waiting || d.waiting > 0
	}
	if !waiting {
		delete(sv.demand, org)
	}
	sv.queue.SetBacklogged(org, waiting)
}

// clearDemand removes the demand of one queue, for which its entry had no
// request any more.
func (sv *service) clearDemand(org string, k demandKey) {
	if d := sv.demand[org][k]; d != nil {
		d.waiting = 0
		sv.updateBacklogged(org)
	}
}

// expireDemand removes the demand that was not repeated within demandTTL.
func (sv *service) expireDemand(now time.Time) {
	for org, byEntry := range sv.demand {
		for k, d := range byEntry {
			if now.Sub(d.receivedAt) > demandTTL {
				delete(byEntry, k)
			}
		}
		sv.updateBacklogged(org)
	}
}
