package gateway

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
)

const (
	// reportBase is the minimum time between two reports of a router to its peers, and
	// reportPerPeer the addition per receiver, so that the cost of all reports grows
	// more slowly than the square of the fleet's size. 22 receivers give 31 ms; with 75
	// ms predictions of the first byte were off by over 100 ms.
	reportBase    = 20 * time.Millisecond
	reportPerPeer = 500 * time.Microsecond
	// reportThreshold is the change of this router's loads, in tokens, from which they
	// are reported at the next interval; smaller changes wait for up to
	// maxQuietIntervals intervals. An engine reads that many tokens in 40 ms. Four
	// intervals of 31 ms are shorter than domainReportInterval.
	reportThreshold   = 2000
	maxQuietIntervals = 4
	// domainReportInterval is the time between two reports of a failure domain. At 30
	// ms the traffic between domains cost 0.03 of the users' score, and predictions were
	// no better.
	domainReportInterval = 150 * time.Millisecond
	// datagramBytes bounds the size of a received datagram.
	datagramBytes = 64 << 10
	// maxRelayed bounds the number of placements in a domain's report.
	maxRelayed = 256
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
	var sentAt, domainSentAt time.Time
	for {
		near, far := p.targets()
		interval := reportBase + time.Duration(len(near))*reportPerPeer
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			sentAt = time.Time{}
		case <-time.After(interval):
		}
		now := time.Now()
		domainDue := len(far) > 0 && now.Sub(domainSentAt) >= domainReportInterval
		if !domainDue && now.Sub(sentAt) < maxQuietIntervals*interval && p.g.unreported() < reportThreshold {
			continue
		}
		sentAt = now
		p.dropSilent(now, peerTimeout+3*interval)
		report := p.ownReport(now)
		p.sendTo(near, report, false)
		if domainDue {
			domainSentAt = now
			p.sendTo(far, p.domainReport(report), true)
		}
	}
}

// targets returns the peers that get this router's own report, and those to which it
// sends the report of its failure domain.
func (p *peers) targets() (near, far []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	direct := len(p.known) <= maxDirectPeers
	reporter := !direct && p.isDomainReporter()
	for _, other := range p.known {
		switch {
		case direct || other.domain == "" || other.domain == p.g.options.Domain:
			near = append(near, other.udpAddr)
		case reporter:
			far = append(far, other.udpAddr)
		}
	}
	return near, far
}

func (p *peers) dropSilent(now time.Time, timeout time.Duration) {
	p.mu.Lock()
	lost := p.expire(now, timeout)
	p.mu.Unlock()
	for _, name := range lost {
		klog.InfoS("Peers: peer lost.", "peer", name)
		p.g.step(dispatch.PeerLost{Peer: name})
	}
}

// ownReport is this router's report. Placements are sent in two successive reports,
// since a datagram may be lost.
func (p *peers) ownReport(now time.Time) dispatch.Report {
	p.g.mu.Lock()
	report := p.g.dispatcher.Report(now)
	p.g.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := report.Placements
	p.queueRelay(fresh)
	report.Placements = append(append([]dispatch.Placement(nil), fresh...), p.lastPlacements...)
	p.lastPlacements = fresh
	return report
}

// queueRelay adds placements to the next domain report, up to maxRelayed. The caller
// holds mu.
func (p *peers) queueRelay(placements []dispatch.Placement) {
	if room := maxRelayed - len(p.relayed); len(placements) > room {
		placements = placements[:room]
	}
	p.relayed = append(p.relayed, placements...)
}

// domainReport sums up the reports of the routers in this failure domain.
func (p *peers) domainReport(own dispatch.Report) dispatch.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := dispatch.Report{Loads: make(map[uint32]dispatch.Load), Usage: make(map[uint32]dispatch.Usage), Placements: p.relayed}
	p.relayed = nil
	sum.Add(own)
	for _, other := range p.known {
		if other.activeIn(p.g.options.Domain) {
			sum.Add(other.lastDatagram.report)
		}
	}
	return sum
}

// sendTo sends a report to the given peers.
func (p *peers) sendTo(to []netip.AddrPort, report dispatch.Report, wholeDomain bool) {
	if len(to) == 0 {
		return
	}
	p.mu.Lock()
	p.serial++
	serial := p.serial
	p.mu.Unlock()
	d := datagram{
		addr: p.g.options.PeerListen, incarnation: p.incarnation, serial: serial,
		config: p.g.configVersion(), lastChange: p.g.lastChange(), domain: p.g.options.Domain, wholeDomain: wholeDomain,
		storeLost: p.g.isStoreLost(), leaving: p.g.draining.Load(), report: report,
	}
	b := d.encode(nil)
	for _, addr := range to {
		if _, err := p.conn.WriteToUDPAddrPort(b, addr); err != nil {
			logs.Info("peer-send", "Peers: sending a report failed.", "to", addr, "err", err)
		}
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
		p.applyReport(d)
	}
}

// applyReport applies a report unless it is older than the last one of its sender.
func (p *peers) applyReport(d *datagram) {
	now := time.Now()
	p.mu.Lock()
	sender := p.add(d.addr)
	if sender == nil || sender.lastDatagram.incarnation == d.incarnation && d.serial <= sender.lastDatagram.serial {
		p.mu.Unlock()
		return
	}
	if !sender.live {
		klog.InfoS("Peers: peer regained.", "peer", d.addr, "config", d.config, "news", d.lastChange)
	}
	sender.reportedAt, sender.live, sender.domain = now, true, d.domain
	name := d.addr
	if d.wholeDomain {
		name = domainKey(d.domain)
		p.domainReportedAt[d.domain] = now
		report := sender.lastDatagram.report
		sender.lastDatagram = *d
		sender.lastDatagram.report = report
	} else {
		sender.lastDatagram = *d
		if d.domain == p.g.options.Domain {
			p.queueRelay(d.report.Placements)
		}
	}
	p.mu.Unlock()
	p.g.step(dispatch.PeerReported{Peer: name, Report: d.report})
	p.catchUp(now, d)
}
