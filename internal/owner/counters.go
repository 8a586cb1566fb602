package owner

import "github.com/jujubeford/jujubeford/internal/wire"

// Report returns the counters of the organisations that wait here, and now and
// then those of all that were served here.
func (s *State) Report() []*wire.Counter {
	s.reports++
	all := s.reports%reportAllEvery == 0
	var out []*wire.Counter
	for _, name := range sorted(s.services) {
		for _, a := range s.services[name].queue.Report(all) {
			out = append(out, &wire.Counter{
				Service: name, Organisation: a.Organisation, Served: a.Own, Backlogged: a.Backlogged,
			})
		}
	}
	return out
}

// LocalCost is the service charged here, which never falls.
func (s *State) LocalCost(service, org string) uint64 { return s.service(service).queue.Own(org) }

// SetPart sets the fraction of a service's slots in the fleet that is granted here.
func (s *State) SetPart(service string, part float64) { s.service(service).queue.SetPart(part) }

// AddRemoteCost takes service that other owners gave.
func (s *State) AddRemoteCost(service, org string, cost uint64, backlogged bool) {
	q := s.service(service).queue
	q.AddRemote(org, cost)
	q.SetElsewhere(org, backlogged)
}
