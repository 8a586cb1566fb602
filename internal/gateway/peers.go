package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// peerTimeout is how long a peer may send no report before its load no longer
	// counts, in addition to three report intervals.
	peerTimeout = 1200 * time.Millisecond
	// peerRetention is how long an unregistered peer is still sent reports.
	peerRetention = 15 * time.Second
	// maxDirectPeers is the number of peers up to which every router reports to every
	// other. In larger fleets each failure domain sends one report to the others.
	maxDirectPeers = 16
	// watchersPerDomain is how many routers of a failure domain watch the store. Two,
	// so that changes arrive while one of them is frozen or cut off.
	watchersPerDomain = 2
	// watchStartDelay is how long a new router waits for reports of its peers before it
	// decides whether it has to watch the store.
	watchStartDelay = 700 * time.Millisecond
)

// peer is another router.
type peer struct {
	addr       string
	domain     string
	udpAddr    netip.AddrPort
	registered bool
	reportedAt time.Time
	// live means that its reports arrive.
	live         bool
	lastDatagram datagram
}

// peers exchanges reports and copies of the store's keys with the other routers.
type peers struct {
	g    *Gateway
	conn *net.UDPConn
	// incarnation distinguishes this process from earlier ones at its address.
	incarnation uint64
	started     time.Time
	// wake makes the sender report before its interval is over.
	wake chan struct{}

	mu     sync.Mutex
	known  map[string]*peer
	seeds  []string
	serial uint64
	// domainReportedAt maps failure domains to the time of their last summed-up report.
	domainReportedAt map[string]time.Time
	copying          copyState
	client           *http.Client
	// lastPlacements holds the placements of the last report, which are sent once more.
	// relayed holds the own placements and those of peers for the next report of the
	// failure domain.
	lastPlacements, relayed []dispatch.Placement
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		g: g, known: make(map[string]*peer), domainReportedAt: make(map[string]time.Time),
		incarnation: rand.Uint64()>>1 + 1, started: time.Now(), wake: make(chan struct{}, 1),
		client: &http.Client{Timeout: copyTimeout, Transport: &http.Transport{
			MaxResponseHeaderBytes: headerBytes, IdleConnTimeout: peerRetention,
		}},
	}
	p.setSeeds(g.options.Seeds)
	return p
}

// add returns the peer at an address and creates it if necessary; nil if the address is
// this router's own or invalid. The caller holds mu.
func (p *peers) add(addr string) *peer {
	if addr == p.g.options.PeerListen {
		return nil
	}
	if other := p.known[addr]; other != nil {
		return other
	}
	udpAddr, err := netip.ParseAddrPort(addr)
	if err != nil {
		logs.Info("peer-address", "Peers: peer address is not IP:port, ignored.", "addr", addr, "err", err)
		return nil
	}
	other := &peer{addr: addr, udpAddr: udpAddr, reportedAt: time.Now()}
	p.known[addr] = other
	return other
}

// setSeeds replaces the peer addresses to start from.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
	for _, addr := range seeds {
		p.add(addr)
	}
}

// registrationKey is the key under which this incarnation of the router is registered
// in the store.
func (p *peers) registrationKey() string {
	return fmt.Sprintf("%s%s.%x", routerPrefix, p.g.options.Name, p.incarnation)
}

// registrationValue is the value stored under registrationKey: the peer address and the
// failure domain.
func (p *peers) registrationValue() []byte {
	return []byte(p.g.options.PeerListen + " " + p.g.options.Domain)
}

// setRegistered updates the peers from the routers registered in the store.
func (p *peers) setRegistered(entries []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.known {
		other.registered = false
	}
	for _, e := range entries {
		addr, domain, _ := strings.Cut(string(e.Value), " ")
		if other := p.add(addr); other != nil {
			other.registered, other.domain = true, domain
		}
	}
}

// fleetSize is the number of routers in the fleet, this one included.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.known)
}

// reportsByDomain reports whether the routers of other failure domains send one
// summed-up report per domain.
func (p *peers) reportsByDomain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) > maxDirectPeers
}

// oldestReportAge is the time since the last report of the live peer that has been
// silent for longest; 0 if no peer is live.
func (p *peers) oldestReportAge(now time.Time) (age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.known {
		if other.live {
			age = max(age, now.Sub(other.reportedAt))
		}
	}
	return age
}

// wakeSender makes the sender report at once.
func (p *peers) wakeSender() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// mustWatch reports whether this router has to watch the store: it is among the first
// watchersPerDomain routers of its failure domain, in order of address, that are live
// and reach the store.
func (p *peers) mustWatch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.started) < watchStartDelay {
		return false
	}
	earlier := 0
	for _, other := range p.known {
		if other.activeIn(p.g.options.Domain) && !other.lastDatagram.storeLost && other.addr < p.g.options.PeerListen {
			earlier++
		}
	}
	return earlier < watchersPerDomain
}

// activeIn reports whether a peer is live, in the given failure domain and not
// stopping.
func (p *peer) activeIn(domain string) bool {
	return p.live && p.lastDatagram.domain == domain && !p.lastDatagram.leaving
}

// isDomainReporter reports whether this router sends the report of its failure domain:
// it is the first active one in order of address. The caller holds mu.
func (p *peers) isDomainReporter() bool {
	for _, other := range p.known {
		if other.activeIn(p.g.options.Domain) && other.addr < p.g.options.PeerListen {
			return false
		}
	}
	return true
}

// expire marks peers that have been silent for longer than timeout as not live, and drops
// failure domains whose last summed-up report is older than that. It returns the names
// by which the dispatcher knows these peers and domains. Peers that are neither
// registered nor seeds are forgotten after peerRetention. The caller holds mu.
func (p *peers) expire(now time.Time, timeout time.Duration) (lost []string) {
	for addr, other := range p.known {
		silentFor := now.Sub(other.reportedAt)
		if other.live && silentFor > timeout {
			other.live = false
			lost = append(lost, addr)
		}
		if !other.registered && silentFor > peerRetention && !slices.Contains(p.seeds, addr) {
			delete(p.known, addr)
		}
	}
	for domain, reportedAt := range p.domainReportedAt {
		if now.Sub(reportedAt) > timeout {
			delete(p.domainReportedAt, domain)
			lost = append(lost, domainKey(domain))
		}
	}
	return lost
}

// domainKey is the name by which the dispatcher knows a failure domain's summed-up
// report.
func domainKey(domain string) string { return "domain " + domain }
