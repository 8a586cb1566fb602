package gateway

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/store"
)

// readTemperature completes what an entry that was just read says of its upstream's
// temperature. If that could not be read, what the entry said before holds.
func (g *Gateway) readTemperature(in *dispatch.Instance, before dispatch.Instance, at store.Position) {
	if !in.ColdUnknown {
		in.ColdUntil = time.Now().Add(in.Cold)
		return
	}
	g.metrics.recordUnreadable(unreadableEntry)
	logs.Info("cold-unreadable", "Directory: upstream's temperature is not a time, the one before holds.", "upstream", in.ID, "position", at)
	if dispatch.SameStart(before, *in) {
		in.ColdUntil, in.ColdStated = before.ColdUntil, before.ColdStated
	}
}

// logUnreadableBounds tells operators of bounds for cold upstreams that are ignored.
func (g *Gateway) logUnreadableBounds(t *routing.Table) {
	for _, name := range t.Services() {
		if t.Service(name).ColdUnknown {
			g.metrics.recordUnreadable(unreadableConfig)
			logs.Info("cold-unreadable", "Config: bound for cold upstreams is not a number or out of range, ignored.", "service", name, "version", t.Version)
		}
	}
}

// logCold logs that an upstream is cold, or no longer.
func logCold(e dispatch.ColdChanged) {
	if e.Left <= 0 {
		logs.Info("warm", "Gateway: upstream is no longer cold.", "upstream", e.Upstream.ID)
		return
	}
	logs.Info("cold", "Gateway: upstream is cold.", "upstream", e.Upstream.ID, "left", e.Left, "source", e.Source, "interval", e.Interval)
}

// registeredDomains returns the failure domains of this router and of the registered ones,
// by peer address.
func (p *peers) registeredDomains() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := map[string]string{p.g.options.PeerListen: p.g.options.Domain}
	for _, other := range p.known {
		if other.registered {
			domains[other.addr] = other.domain
		}
	}
	return domains
}

// mayReach reports whether the temperature of an attempt's upstream allows it to be sent
// now. A stream that continues from moved memory can go nowhere else.
func (g *Gateway) mayReach(c *call, e dispatch.Send) bool {
	if e.ContinueFrom != "" {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.MayReach(time.Now(), c.key, e.Attempt)
}
