package entry

import (
	"maps"
	"slices"
	"sort"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// outbox batches the messages to each owner, so that one step sends at most one
// message of a kind.
type outbox struct{ byOwner map[core.RouterID]*ownerBatch }

type ownerBatch struct {
	demand       map[string][]*wire.Queue // by service
	settled      []*wire.Settled
	progress     []*wire.Held
	hasProgress  bool
	fullProgress bool
}

func newOutbox() outbox { return outbox{byOwner: make(map[core.RouterID]*ownerBatch)} }

func (o *outbox) batchFor(to core.RouterID) *ownerBatch {
	p := o.byOwner[to]
	if p == nil {
		p = &ownerBatch{demand: make(map[string][]*wire.Queue)}
		o.byOwner[to] = p
	}
	return p
}

func (o *outbox) addDemand(to core.RouterID, service string, q *wire.Queue) {
	p := o.batchFor(to)
	p.demand[service] = append(p.demand[service], q)
}

func (o *outbox) addSettled(to core.RouterID, s *wire.Settled) {
	p := o.batchFor(to)
	p.settled = append(p.settled, s)
}

func (o *outbox) setProgress(to core.RouterID, held []*wire.Held, full bool) {
	p := o.batchFor(to)
	p.progress, p.hasProgress, p.fullProgress = held, true, full
}

// flush empties the outbox. Releases come first, so that a slot is free before
// new demand for it is considered.
func (o *outbox) flush() []core.Effect {
	if len(o.byOwner) == 0 {
		return nil
	}
	owners := make([]core.RouterID, 0, len(o.byOwner))
	for to := range o.byOwner {
		owners = append(owners, to)
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i] < owners[j] })
	var effects []core.Effect
	for _, to := range owners {
		p := o.byOwner[to]
		if len(p.settled) > 0 {
			effects = append(effects, sendPeer(to, &wire.Envelope{Body: &wire.Envelope_Release{Release: &wire.Release{Settled: p.settled}}}))
		}
		if p.hasProgress {
			effects = append(effects, sendPeer(to, &wire.Envelope{Body: &wire.Envelope_Progress{Progress: &wire.Progress{Held: p.progress, Full: p.fullProgress}}}))
		}
		if len(p.demand) > 0 {
			effects = append(effects, sendPeer(to, &wire.Envelope{Body: &wire.Envelope_Demand{Demand: p.demandMessage()}}))
		}
	}
	*o = newOutbox()
	return effects
}

// demandMessage returns the demand of all services as one message.
func (p *ownerBatch) demandMessage() *wire.Demand {
	m := &wire.Demand{}
	for _, service := range slices.Sorted(maps.Keys(p.demand)) {
		m.Services = append(m.Services, &wire.ServiceDemand{Service: service, Queues: p.demand[service]})
	}
	return m
}

func sendPeer(to core.RouterID, m *wire.Envelope) core.Effect {
	return core.SendPeer{To: to, Message: m}
}
