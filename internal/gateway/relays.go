package gateway

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/relay"
)

// sendByRelays carries out what is due in a fleet whose reports are passed on by relays.
func (p *peers) sendByRelays(now time.Time, urgent bool) {
	unreported := p.g.unreported()
	status := relay.Status{StoreLost: p.g.isStoreLost(), Leaving: p.g.draining.Load()}
	p.mu.Lock()
	p.relay.SetStatus(status)
	effects := p.relay.Tick(now, unreported, urgent, func() dispatch.Report { return p.ownReport(now) })
	p.mu.Unlock()
	for _, effect := range effects {
		p.carryOut(effect)
	}
}

func (p *peers) carryOut(effect relay.Effect) {
	switch e := effect.(type) {
	case relay.SendReport:
		d := p.header(scopeRouter)
		p.mu.Lock()
		p.relay.Reported(d.serial, e.Report)
		p.mu.Unlock()
		if len(e.To) == 0 {
			return
		}
		b := d.encode(nil, e.Report)
		for _, to := range e.To {
			p.writeTo(b, to)
		}
	case relay.SendDomain:
		p.sendSum(scopeDomain, e.To, e.Members, e.Report)
	case relay.SendElsewhere:
		p.sendSum(scopeElsewhere, e.To, 0, e.Report)
	case relay.Apply:
		p.applyView(e.Name, e.Report)
	case relay.Drop:
		klog.InfoS("Peers: no relay sends the loads of other routers.", "view", e.Name)
		p.dropViews(e.Name)
	}
}

func (p *peers) sendSum(s scope, to []relay.Receiver, members int, report dispatch.Report) {
	d := p.header(s)
	d.members = members
	b := d.encode(nil, report)
	for _, r := range to {
		d.applied, d.watch = r.Applied, r.Watch
		p.writeTo(d.appendReceiver(b), r.Addr)
	}
}

// writeTo sends a datagram to a peer address.
func (p *peers) writeTo(b []byte, addr string) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		logs.Info("peer-address", "Peers: peer address is not IP:port, ignored.", "addr", addr, "err", err)
		return
	}
	p.write(b, to)
}

// applyByRelays applies a datagram in a fleet whose reports are passed on by relays.
func (p *peers) applyByRelays(now time.Time, d *datagram) error {
	status := relay.Status{StoreLost: d.storeLost, Leaving: d.leaving}
	sum := relay.Sum{From: d.addr, Domain: d.domain, Status: status, Members: d.members, Applied: d.applied, Watch: d.watch}
	sameDomain := d.domain == p.g.options.Domain
	p.mu.Lock()
	defer p.mu.Unlock()
	var use func(dispatch.Report)
	switch {
	case d.scope == scopeRouter && sameDomain:
		use = func(r dispatch.Report) {
			p.relay.HandleReport(now, d.addr, d.serial, status, r)
			if p.relay.Direct() {
				p.applyView(d.addr, r)
			}
		}
	case d.scope == scopeDomain && !sameDomain && p.relay.AcceptRemote(now, sum):
		use = func(r dispatch.Report) { p.relay.SetRemote(d.domain, r) }
	case d.scope == scopeDomain && sameDomain && p.relay.AcceptDomain(now, sum) && !p.relay.Direct():
		use = func(r dispatch.Report) { p.applyView(relay.DomainView, p.relay.WithoutOwn(r, d.applied)) }
	case d.scope == scopeElsewhere && sameDomain && p.relay.AcceptElsewhere(now, sum):
		use = func(r dispatch.Report) { p.applyView(relay.ElsewhereView, r) }
	default:
		return nil
	}
	report, err := d.encoded.decode()
	if err != nil {
		return err
	}
	use(report)
	return nil
}

// applyView passes a report to the dispatcher under a name.
func (p *peers) applyView(name string, report dispatch.Report) {
	p.viewsMu.Lock()
	defer p.viewsMu.Unlock()
	p.views[name] = true
	p.g.step(dispatch.PeerReported{Peer: name, Report: report})
}

// dropViews removes reports from the dispatcher.
func (p *peers) dropViews(names ...string) {
	p.viewsMu.Lock()
	defer p.viewsMu.Unlock()
	for _, name := range names {
		if p.views[name] {
			delete(p.views, name)
			p.g.step(dispatch.PeerLost{Peer: name})
		}
	}
}

// dropOtherViews removes the reports that another way of reporting has left behind, which
// the fleet used while it was smaller or larger. Otherwise the same loads would count
// twice.
func (p *peers) dropOtherViews() {
	p.mu.Lock()
	relays, direct := len(p.known) > maxDirectPeers, p.relay.Direct()
	inUse := func(name string) bool {
		switch {
		case name == relay.DomainView:
			return relays && !direct
		case name == relay.ElsewhereView:
			return relays
		case relays:
			other := p.known[name]
			return direct && other != nil && other.domain == p.g.options.Domain
		}
		return true
	}
	p.viewsMu.Lock()
	var stale []string
	for name := range p.views {
		if !inUse(name) {
			stale = append(stale, name)
		}
	}
	p.viewsMu.Unlock()
	p.mu.Unlock()
	p.dropViews(stale...)
}
