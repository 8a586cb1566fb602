package faults

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// One in lossOneIn messages is lost while fleet.lossy is set.
const lossOneIn = 4

func member(n *node) *wire.Member {
	return &wire.Member{Id: string(n.id), Name: n.name, Domain: n.domain, PeerAddr: addrOf(n)}
}

// dial connects a node to the node at addr.
func (f *fleet) dial(n *node, addr string) {
	for _, other := range f.nodes {
		if addrOf(other) != addr {
			continue
		}
		f.after(2*linkDelay, func() {
			if !n.up {
				return
			}
			if !other.up || f.isCut(n, other) {
				f.deliver(n, core.DialFailed{Addr: addr})
				return
			}
			f.link(n, other)
		})
	}
}

// link connects two nodes unless they are connected already.
func (f *fleet) link(a, b *node) {
	if a.linked[b.id] && b.linked[a.id] {
		return
	}
	a.linked[b.id], b.linked[a.id] = true, true
	f.deliver(a, core.PeerUp{Member: member(b)})
	f.deliver(b, core.PeerUp{Member: member(a)})
}

func nodePair(a, b *node) [2]int { return [2]int{min(a.index, b.index), max(a.index, b.index)} }

// isCut reports whether a partition lies between two nodes.
func (f *fleet) isCut(a, b *node) bool {
	return f.cutPairs[nodePair(a, b)] || f.cutDomain != "" && (a.domain == f.cutDomain) != (b.domain == f.cutDomain)
}

// cutFromPlatform reports whether a node cannot reach the platform.
func (f *fleet) cutFromPlatform(n *node) bool { return f.cutDomain != "" && n.domain == f.cutDomain }

// reaches reports whether a node can reach an upstream.
func (f *fleet) reaches(n *node, u *fakeUpstream) bool {
	return f.cutDomain == "" || (n.domain == f.cutDomain) == (u.Domain == f.cutDomain)
}

// cutOff partitions a node from all others; rejoin ends the partition.
func (f *fleet) cutOff(n *node) {
	for _, other := range f.nodes {
		if other != n {
			f.cutPairs[nodePair(n, other)] = true
		}
	}
	f.dropLinks()
}

func (f *fleet) rejoin(n *node) {
	for _, other := range f.nodes {
		delete(f.cutPairs, nodePair(n, other))
	}
}

// cutOffDomain partitions a failure domain from the others and the platform. An
// empty name ends the partition.
func (f *fleet) cutOffDomain(domain string) {
	f.cutDomain = domain
	f.dropLinks()
}

// dropLinks breaks the connections that cross a partition.
func (f *fleet) dropLinks() {
	f.missedMessages = true
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if n.linked[other.id] && f.isCut(n, other) {
				delete(n.linked, other.id)
				f.deliverLater(n, detectTime, core.PeerDown{Peer: other.id})
			}
		}
	}
}

// sendMessage delivers a message to a connected router, subject to the message
// faults. It is dropped if the connection breaks before it arrives.
func (f *fleet) sendMessage(from *node, e core.SendPeer) {
	for _, to := range f.nodes {
		if to.id != e.To || !from.linked[to.id] || f.lossy && f.rng.IntN(lossOneIn) == 0 {
			continue
		}
		delay, incarnation := linkDelay, to.incarnation
		if f.late {
			delay += time.Duration(f.rng.IntN(50)) * time.Millisecond
		}
		copies := 1
		if f.duplicate {
			copies = 2
		}
		for range copies {
			f.after(delay, func() {
				if to.incarnation == incarnation && to.linked[from.id] {
					f.deliver(to, core.PeerMessage{From: from.id, Message: e.Message})
				}
			})
		}
	}
}
