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

// ownerBatch holds the messages to one owner.
type ownerBatch struct {
	demand       map[string][]*wire.Queue // by service
	settled      []*wire.Settled
	progress     []*wire.Held
	hasProgress  bool
	fullProgress bool
}

func newOutbox() outbox { return outbox{byOwner: make(map[core.RouterID]*ownerBatch)} }

func (o *outbox) batchFor(to core.RouterID) *ownerBatch {
	b := o.byOwner[to]
	if b == nil {
		b = &ownerBatch{demand: make(map[string][]*wire.Queue)}
		o.byOwner[to] = b
	}
	return b
}

func (o *outbox) addDemand(to core.RouterID, service string, q *wire.Queue) {
	b := o.batchFor(to)
	b.demand[service] = append(b.demand[service], q)
}

func (o *outbox) addSettled(to core.RouterID, s *wire.Settled) {
	b := o.batchFor(to)
	b.settled = append(b.settled, s)
}

func (o *outbox) setProgress(to core.RouterID, held []*wire.Held, full bool) {
	b := o.batchFor(to)
	b.progress, b.hasProgress, b.fullProgress = held, true, full
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
		b := o.byOwner[to]
		if len(b.settled) > 0 {
			effects = append(effects, sendPeer(to, &wire.Envelope{Body: &wire.Envelope_Release{Release: &wire.Release{Settled: b.settled}}}))
		}
		if b.hasProgress {
			effects = append(effects, sendPeer(to, &wire.Envelope{Body: &wire.Envelope_Progress{Progress: &wire.Progress{Held: b.progress, Full: b.fullProgress}}}))
		}
		if len(b.demand) > 0 {
			effects = append(effects, sendPeer(to, &wire.Envelope{Body: &wire.Envelope_Demand{Demand: b.demandMessage()}}))
		}
	}
	*o = newOutbox()
	return effects
}

// demandMessage returns the demand of all services as one message.
func (b *ownerBatch) demandMessage() *wire.Demand {
	m := &wire.Demand{}
	for _, service := range slices.Sorted(maps.Keys(b.demand)) {
		m.Services = append(m.Services, &wire.ServiceDemand{Service: service, Queues: b.demand[service]})
	}
	return m
}

func sendPeer(to core.RouterID, m *wire.Envelope) core.Effect {
	return core.SendPeer{To: to, Message: m}
}
