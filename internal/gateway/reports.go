package gateway

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/poison"
)

const (
	// reportBase is the minimum time between two reports of a router to all its peers,
	// and reportPerPeer the addition per receiver.
	reportBase    = 20 * time.Millisecond
	reportPerPeer = 500 * time.Microsecond
	// reportThreshold is the change of this router's loads, in tokens, from which they
	// are reported at the next interval; smaller changes wait for up to
	// maxQuietIntervals intervals. An engine reads that many tokens in 40 ms.
	reportThreshold   = 2000
	maxQuietIntervals = 4
	// silenceCheckInterval is the time between two checks for silent peers.
	silenceCheckInterval = 200 * time.Millisecond
	// datagramBytes bounds the size of a received datagram.
	datagramBytes = 64 << 10
)

// start opens the socket and starts to send and receive reports.
func (p *peers) start(ctx context.Context) error {
	addr, err := netip.ParseAddrPort(p.g.options.PeerListen)
	if err != nil {
		return errors.Wrap(err, "parse address of peer-listen")
	}
	p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return errors.Wrap(err, "listen for reports")
	}
	context.AfterFunc(ctx, func() { p.conn.Close() })
	go p.receive(ctx)
	go p.send(ctx)
	return nil
}

// send reports to the peers at intervals, and sooner when woken.
func (p *peers) send(ctx context.Context) {
	var checkedAt time.Time
	for {
		interval := p.reportInterval()
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			urgent = true
		case <-time.After(interval):
		}
		now := time.Now()
		if now.Sub(checkedAt) >= silenceCheckInterval {
			checkedAt = now
			p.dropSilent(now, peerTimeout+3*interval)
		}
		p.dropOtherViews()
		if p.usesRelays() {
			p.sendByRelays(now, urgent)
		} else {
			p.sendDirectly(now, interval, urgent)
		}
	}
}

// sendDirectly sends this router's report to all peers if it is due.
func (p *peers) sendDirectly(now time.Time, interval time.Duration, urgent bool) {
	if !urgent && now.Sub(p.sentAt) < maxQuietIntervals*interval && p.g.unreported() < reportThreshold {
		return
	}
	p.sentAt = now
	report := p.ownReport(now)
	p.mu.Lock()
	to := make([]netip.AddrPort, 0, len(p.known))
	for _, other := range p.known {
		to = append(to, other.udpAddr)
	}
	p.mu.Unlock()
	d := p.header(scopeRouter)
	b := d.encode(nil, report)
	for _, addr := range to {
		p.write(b, addr)
	}
}

func (p *peers) dropSilent(now time.Time, timeout time.Duration) {
	p.mu.Lock()
	lost := p.expire(now, timeout)
	p.mu.Unlock()
	for _, name := range lost {
		logs.Info("peer-lost", "Peers: peer lost.", "peer", name)
	}
	p.dropViews(lost...)
}

// ownReport is this router's report. Placements and crashes are sent in two successive
// reports, since a datagram may be lost.
func (p *peers) ownReport(now time.Time) dispatch.Report {
	p.g.mu.Lock()
	report := p.g.dispatcher.Report(now)
	p.g.mu.Unlock()
	fresh := report.Placements
	report.Placements = append(append([]dispatch.Placement(nil), fresh...), p.lastPlacements...)
	p.lastPlacements = fresh
	freshCrashes := report.Crashes
	report.Crashes = append(append([]poison.Fact(nil), freshCrashes...), p.lastCrashes...)
	p.lastCrashes = freshCrashes
	return report
}

// header is the header of the next datagram. Its fields for sums are not set.
func (p *peers) header(s scope) datagram {
	p.mu.Lock()
	p.serial++
	serial := p.serial
	p.mu.Unlock()
	lastChange, staleness := p.g.lastChange(), p.g.staleness(time.Now())
	return datagram{
		addr: p.g.options.PeerListen, incarnation: p.incarnation, serial: serial,
		config: p.g.configVersion(), era: lastChange.Era, lastChange: lastChange.Revision, domain: p.g.options.Domain, scope: s,
		storeLost: p.g.isStoreLost(), staleness: staleness, listing: p.g.isListing.Load(), leaving: p.g.draining.Load(), spare: p.g.spareCores(), offloadPort: uint16(p.g.offloadPort.Load()),
	}
}

func (p *peers) write(b []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		logs.Info("peer-send", "Peers: sending a report failed.", "to", to, "err", err)
	}
}

// receive applies received reports until ctx ends.
func (p *peers) receive(ctx context.Context) {
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			logs.Info("peer-receive", "Peers: receiving a report failed.", "err", err)
			sleep(ctx, reportBase)
			continue
		}
		d, err := decode(buf[:n])
		if err != nil {
			logs.Info("peer-receive", "Peers: malformed report skipped.", "err", err)
			continue
		}
		p.applyDatagram(d)
	}
}

// applyDatagram applies a datagram unless it is older than the last one of its sender.
func (p *peers) applyDatagram(d *datagram) {
	now := time.Now()
	p.mu.Lock()
	sender := p.add(d.addr)
	if sender == nil || sender.incarnation == d.incarnation && d.serial <= sender.serial {
		p.mu.Unlock()
		return
	}
	if !sender.live {
		logs.Info("peer-regained", "Peers: peer regained.", "peer", d.addr, "config", d.config, "era", d.era, "news", d.lastChange)
	}
	sender.reportedAt, sender.live, sender.domain = now, true, d.domain
	sender.incarnation, sender.serial, sender.storeLost, sender.leaving, sender.listing = d.incarnation, d.serial, d.storeLost, d.leaving, d.listing
	p.mu.Unlock()
	p.g.offloader.handleReport(now, d)
	var err error
	if p.usesRelays() {
		err = p.applyByRelays(now, d)
	} else if d.scope == scopeRouter {
		var report dispatch.Report
		if report, err = d.encoded.decode(); err == nil {
			p.applyView(d.addr, report)
		}
	}
	if err != nil {
		logs.Info("peer-receive", "Peers: malformed report skipped.", "from", d.addr, "err", err)
		return
	}
	p.catchUp(now, d)
}
