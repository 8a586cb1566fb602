package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/poison"
	"github.com/jujubeford/jujubeford/internal/relay"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// peerTimeout is how long a peer may send no report before its load no longer
	// counts, in addition to three report intervals.
	peerTimeout = 1200 * time.Millisecond
	// peerRetention is how long an unregistered peer is still sent reports.
	peerRetention = 15 * time.Second
	// maxDirectPeers is the number of peers up to which every router reports to every
	// other. In larger fleets relays pass the reports on.
	maxDirectPeers = 16
	// watchStartDelay is how long a new router waits for reports of its peers before it
	// decides whether it has to watch the store. In a fleet that starts as a whole most
	// routers have registered by then, so that one call finds them.
	watchStartDelay = 1200 * time.Millisecond
)

// peer is another router.
type peer struct {
	addr       string
	domain     string
	udpAddr    netip.AddrPort
	registered bool
	// cores is the processor time that it may use, 0 if not known.
	cores      float64
	reportedAt time.Time
	// live means that its datagrams arrive. The fields below are from the last one.
	live                bool
	incarnation, serial uint64
	storeLost, leaving  bool
	// listing means that it is listing the store's keys.
	listing bool
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
	// sentAt is when the last report was sent to all peers, and lastPlacements holds the
	// placements of the last report and lastCrashes its crashes, which are sent once more.
	// They belong to the sender.
	sentAt         time.Time
	lastPlacements []dispatch.Placement
	lastCrashes    []poison.Fact

	mu     sync.Mutex
	known  map[string]*peer
	seeds  []string
	serial uint64
	// relay is used while the fleet is larger than maxDirectPeers.
	relay   *relay.State
	copying copyState
	client  *http.Client

	// viewsMu guards views, the names of the reports in use at the dispatcher: peer
	// addresses, or the names of sums. It is locked after mu.
	viewsMu sync.Mutex
	views   map[string]bool
}

func newPeers(g *Gateway) *peers {
	p := &peers{
		g: g, known: make(map[string]*peer), views: make(map[string]bool),
		incarnation: rand.Uint64()>>1 + 1, started: time.Now(), wake: make(chan struct{}, 1),
		relay: relay.New(relay.Router{Addr: g.options.PeerListen, Domain: g.options.Domain, Cores: g.options.Cores}),
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

// registrationKey is the n-th key under which this incarnation of the router is registered
// in the store.
func (p *peers) registrationKey(n int) string {
	key := fmt.Sprintf("%s%s.%x", routerPrefix, p.g.options.Name, p.incarnation)
	if n > 0 {
		key += fmt.Sprint(".", n)
	}
	return key
}

// registrationValue is the value stored under registrationKey: the peer address, the
// failure domain and the processor time that the router may use, in cores.
func (p *peers) registrationValue() []byte {
	return fmt.Appendf(nil, "%s %s %g", p.g.options.PeerListen, p.g.options.Domain, p.g.options.Cores)
}

// parseRegistration parses a value written by registrationValue. The cores are 0 if the
// value has none, as those of earlier builds.
func parseRegistration(value []byte) (addr, domain string, cores float64) {
	fields := strings.Fields(string(value))
	if len(fields) > 0 {
		addr = fields[0]
	}
	if len(fields) > 1 {
		domain = fields[1]
	}
	if len(fields) > 2 {
		var err error
		if cores, err = strconv.ParseFloat(fields[2], 64); err != nil {
			logs.Info("peer-cores", "Peers: cores of a registered router are not a number, taken as unknown.", "addr", addr, "err", err)
		}
	}
	return addr, domain, cores
}

// setRegistered updates the peers from the routers registered in the store.
func (p *peers) setRegistered(entries []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.known {
		other.registered = false
	}
	for _, e := range entries {
		addr, domain, cores := parseRegistration(e.Value)
		if other := p.add(addr); other != nil {
			other.registered, other.domain, other.cores = true, domain, cores
		}
	}
	p.updateRelay()
}

// updateRelay tells the relay state which routers there are. The caller holds mu.
func (p *peers) updateRelay() {
	if len(p.known) <= maxDirectPeers {
		return
	}
	list := make([]relay.Router, 0, len(p.known))
	for _, other := range p.known {
		if other.registered {
			list = append(list, relay.Router{Addr: other.addr, Domain: other.domain, Cores: other.cores})
		}
	}
	p.relay.SetRouters(list)
}

// fleetSize is the number of routers in the fleet, this one included.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.known)
}

// registered returns the peer addresses of this router and of the registered ones, silent
// ones included: they may only be silent here.
func (p *peers) registered() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []string{p.g.options.PeerListen}
	for _, other := range p.known {
		if other.registered {
			list = append(list, other.addr)
		}
	}
	return list
}

// usesRelays reports whether relays pass the reports on, so that those of other failure
// domains arrive summed up and late.
func (p *peers) usesRelays() bool {
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

// reportInterval is the time between two looks at what has to be reported.
func (p *peers) reportInterval() time.Duration {
	unreported := p.g.unreported()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.known) > maxDirectPeers {
		return p.relay.NextTick(unreported)
	}
	return reportBase + time.Duration(len(p.known))*reportPerPeer
}

// mustWatch reports whether this router has to watch the store: a relay says so or, in a
// small fleet, it is among the first routers of its failure domain, in order of address,
// that are live and reach the store. Any other has to as well while those do not keep it
// current.
func (p *peers) mustWatch(now time.Time) bool {
	staleness, storeLost := p.g.staleness(now), p.g.isStoreLost()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.started) < watchStartDelay {
		return false
	}
	if !storeLost && p.mustTakeOver(staleness) {
		return true
	}
	if len(p.known) > maxDirectPeers {
		return p.relay.Watches(now)
	}
	return p.earlierWatchers() < relay.WatchersPerDomain
}

// earlierWatchers returns the number of routers that have to watch the store before this one.
// The caller holds mu.
func (p *peers) earlierWatchers() (n int) {
	for _, other := range p.known {
		if other.live && other.domain == p.g.options.Domain && !other.leaving && !other.storeLost && other.addr < p.g.options.PeerListen {
			n++
		}
	}
	return n
}

// isFirstWatcher reports whether this router is the first of its failure domain that watches
// the store.
func (p *peers) isFirstWatcher() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.known) > maxDirectPeers {
		return p.relay.IsFirst()
	}
	return p.earlierWatchers() == 0
}

// expire marks peers that have been silent for longer than timeout as not live, and
// returns their addresses. Peers that are neither registered nor seeds are forgotten after
// peerRetention. The caller holds mu.
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
	return lost
}
