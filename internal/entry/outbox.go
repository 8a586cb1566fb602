package entry

import (
	"maps"
	"slices"
	"sort"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// outbox batches what goes to each owner, so that one step sends at most one
// message of a kind.
type outbox struct{ to map[core.RouterID]*parcel }

type parcel struct {
	demand   map[string][]*wire.Queue // by service
	settled  []*wire.Settled
	progress []*wire.Held
	listed   bool
	full     bool
}

func newOutbox() outbox { return outbox{to: make(map[core.RouterID]*parcel)} }

func (o *outbox) parcel(to core.RouterID) *parcel {
	p := o.to[to]
	if p == nil {
		p = &parcel{demand: make(map[string][]*wire.Queue)}
		o.to[to] = p
	}
	return p
}

func (o *outbox) demand(to core.RouterID, service string, q *wire.Queue) {
	p := o.parcel(to)
	p.demand[service] = append(p.demand[service], q)
}

func (o *outbox) settle(to core.RouterID, s *wire.Settled) {
	p := o.parcel(to)
	p.settled = append(p.settled, s)
}

func (o *outbox) progress(to core.RouterID, held []*wire.Held, full bool) {
	p := o.parcel(to)
	p.progress, p.listed, p.full = held, true, full
}

// flush empties the outbox: releases first, so that a slot is free before new
// demand for it is weighed.
func (o *outbox) flush() []core.Effect {
	if len(o.to) == 0 {
		return nil
	}
	owners := make([]core.RouterID, 0, len(o.to))
	for to := range o.to {
		owners = append(owners, to)
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i] < owners[j] })
	var effects []core.Effect
	for _, to := range owners {
		p := o.to[to]
		if len(p.settled) > 0 {
			effects = append(effects, send(to, &wire.Envelope{Body: &wire.Envelope_Release{Release: &wire.Release{Settled: p.settled}}}))
		}
		if p.listed {
			effects = append(effects, send(to, &wire.Envelope{Body: &wire.Envelope_Progress{Progress: &wire.Progress{Held: p.progress, Full: p.full}}}))
		}
		if len(p.demand) > 0 {
			effects = append(effects, send(to, &wire.Envelope{Body: &wire.Envelope_Demand{Demand: p.message()}}))
		}
	}
	*o = newOutbox()
	return effects
}

// message is the demand of all services in one message.
func (p *parcel) message() *wire.Demand {
	m := &wire.Demand{}
	for _, service := range slices.Sorted(maps.Keys(p.demand)) {
		m.Services = append(m.Services, &wire.ServiceDemand{Service: service, Queues: p.demand[service]})
	}
	return m
}

func send(to core.RouterID, m *wire.Envelope) core.Effect {
	return core.SendPeer{To: to, Message: m}
}
