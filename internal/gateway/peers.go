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
	// peerTimeout is how long a peer may be silent before its load no longer
	// counts, beside three times the time between reports.
	peerTimeout = 1200 * time.Millisecond
	// peerRetention is how long an unlisted peer is still sent reports.
	peerRetention = 15 * time.Second
	// maxDirectPeers is the size of a fleet up to which every router reports to
	// every other; in larger ones each failure domain sends one report.
	maxDirectPeers = 16
	// watchersPerDomain is how many routers of a failure domain watch the store.
	// Two, so that changes arrive while one is frozen or cut off.
	watchersPerDomain = 2
	// watchStartDelay is how long a new router waits for reports of its peers before
	// it judges whether it has to watch.
	watchStartDelay = 700 * time.Millisecond
)

// peer is another router.
type peer struct {
	addr       string
	domain     string
	udpAddr    netip.AddrPort
	listed     bool
	reportedAt time.Time
	// live means that its reports come.
	live         bool
	lastDatagram datagram
}

// peers keeps in touch with the other routers.
type peers struct {
	g    *Gateway
	conn *net.UDPConn
	// incarnation tells this process from earlier ones at its address.
	incarnation uint64
	started     time.Time
	// wake wakes the sender before its interval is over.
	wake chan struct{}

	mu     sync.Mutex
	known  map[string]*peer
	seeds  []string
	serial uint64
	// domainReportedAt are when the reports of whole failure domains last came.
	domainReportedAt map[string]time.Time
	copying          copyState
	client           *http.Client
	// lastPlaced are the placements of the last report, sent once more, and relayed
	// those of peers that the domain's report passes on.
	lastPlaced, relayed []dispatch.Placement
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

// add makes a peer known; nil if the address is the own one or unusable.
func (p *peers) add(addr string) *peer {
	if addr == p.g.options.PeerListen {
		return nil
	}
	if known := p.known[addr]; known != nil {
		return known
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		logs.Info("peer-address", "Peers: address is no IP:port.", "addr", addr, "err", err)
		return nil
	}
	known := &peer{addr: addr, udpAddr: to, reportedAt: time.Now()}
	p.known[addr] = known
	return known
}

// setSeeds replaces the addresses to start from.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
	for _, addr := range seeds {
		p.add(addr)
	}
}

// registrationKey is the key that lists this life of the router in the store.
func (p *peers) registrationKey() string {
	return fmt.Sprintf("%s%s.%x", routerPrefix, p.g.options.Name, p.incarnation)
}

// registrationValue is the value of that key: the address and the failure domain.
func (p *peers) registrationValue() []byte {
	return []byte(p.g.options.PeerListen + " " + p.g.options.Domain)
}

// setRegistered takes the routers that are registered in the store.
func (p *peers) setRegistered(entries []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		known.listed = false
	}
	for _, e := range entries {
		addr, domain, _ := strings.Cut(string(e.Value), " ")
		if known := p.add(addr); known != nil {
			known.listed, known.domain = true, domain
		}
	}
}

// fleetSize is the number of routers in the fleet, this one included.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.known)
}

// reportsByDomain reports whether routers of other failure domains report as a whole.
func (p *peers) reportsByDomain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) > maxDirectPeers
}

// oldestReportAge is the time since the last report of the live router that was heard longest
// ago; 0 if none lives.
func (p *peers) oldestReportAge(now time.Time) (age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		if known.live {
			age = max(age, now.Sub(known.reportedAt))
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

// mustWatch reports whether this router has to watch the store: it is one of the
// first routers of its failure domain that live and reach the store.
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

// activeIn reports whether a peer lives in a failure domain and does not stop.
func (known *peer) activeIn(domain string) bool {
	return known.live && known.lastDatagram.domain == domain && !known.lastDatagram.leaving
}

// isDomainReporter reports whether this router sends the report of its failure
// domain: the first that lives.
func (p *peers) isDomainReporter() bool {
	for _, other := range p.known {
		if other.activeIn(p.g.options.Domain) && other.addr < p.g.options.PeerListen {
			return false
		}
	}
	return true
}

// expire drops peers and failure domains that are silent, and returns them as
// the dispatcher knows them.
func (p *peers) expire(now time.Time, silence time.Duration) (lost []string) {
	for addr, known := range p.known {
		silent := now.Sub(known.reportedAt)
		if known.live && silent > silence {
			known.live = false
			lost = append(lost, addr)
		}
		if !known.listed && silent > peerRetention && !slices.Contains(p.seeds, addr) {
			delete(p.known, addr)
		}
	}
	for domain, heard := range p.domainReportedAt {
		if now.Sub(heard) > silence {
			delete(p.domainReportedAt, domain)
			lost = append(lost, domainKey(domain))
		}
	}
	return lost
}

// domainKey is a failure domain's name among the peers of the dispatcher.
func domainKey(domain string) string { return "domain " + domain }
