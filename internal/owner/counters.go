package owner

import "github.com/jujubeford/jujubeford/internal/wire"

// Report returns the counters of the backlogged organisations, and in every
// reportAllEvery-th call those of all organisations that were served here.
func (s *State) Report() []*wire.Counter {
	s.reports++
	all := s.reports%reportAllEvery == 0
	var out []*wire.Counter
	for _, name := range sorted(s.services) {
		for _, a := range s.services[name].queue.Report(all) {
			out = append(out, &wire.Counter{
				Service: name, Organisation: a.Organisation, Served: a.LocalService, Backlogged: a.Backlogged,
			})
		}
	}
	return out
}

// LocalCost returns the cost charged to an organisation at this owner. It never
// decreases.
func (s *State) LocalCost(service, org string) uint64 {
	return s.service(service).queue.LocalService(org)
}

// SetLocalFraction sets the fraction of the fleet's slots of a service that
// this owner grants.
func (s *State) SetLocalFraction(service string, fraction float64) {
	s.service(service).queue.SetLocalFraction(fraction)
}

// AddRemoteCost adds cost that other owners charged, and records whether the
// organisation is backlogged there.
func (s *State) AddRemoteCost(service, org string, cost uint64, backlogged bool) {
	q := s.service(service).queue
	q.AddRemote(org, cost)
	q.SetBackloggedElsewhere(org, backlogged)
}
