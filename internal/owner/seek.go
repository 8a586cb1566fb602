package owner

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// seekFanout is the number of entries asked for demand at a time.
	seekFanout = 2
	// seekMinEntries is the fleet size from which owners ask entries for
	// demand. In smaller fleets the entries announce their demand to all owners
	// within a few rounds.
	seekMinEntries = 16
)

// SolicitDemand asks a few entries for demand, in rotation, if slots are free
// and no request waits for them here. Entries of a large fleet announce their
// demand to a few owners only, so an owner that none of them reached would stay
// idle.
func (s *State) SolicitDemand(now time.Time, entries []core.RouterID) []core.Effect {
	if len(entries) < seekMinEntries {
		return nil
	}
	idle := s.idleServices(now)
	if len(idle) == 0 {
		return nil
	}
	var effects []core.Effect
	for range seekFanout {
		s.seekTurn = (s.seekTurn + 1) % len(entries)
		if to := entries[s.seekTurn]; to != s.self {
			effects = append(effects, core.SendPeer{To: to, Message: &wire.Envelope{Body: &wire.Envelope_Seek{
				Seek: &wire.Seek{Idle: idle},
			}}})
		}
	}
	return effects
}

// idleServices returns the services with free slots and no demand at this
// owner.
func (s *State) idleServices(now time.Time) []*wire.Idle {
	var out []*wire.Idle
	for _, name := range sorted(s.services) {
		if len(s.services[name].demand) > 0 {
			continue
		}
		free := 0
		for _, u := range s.ownedUpstreams(name) {
			free += u.freeSlots(now)
		}
		if free > 0 {
			out = append(out, &wire.Idle{Service: name, Free: uint32(free)})
		}
	}
	return out
}
