package routing

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines whether a request may be retried and whether its answer is an
// event stream.
type Kind uint8

// The kinds of request.
const (
	// AtMostOnce requests must not run twice. It is the zero value, so that
	// requests of an unknown kind are never retried.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by an event stream and must not run twice.
	Stream
	// ResumableStream requests are answered by an event stream that another
	// upstream can continue after the last delivered event.
	ResumableStream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	case ResumableStream:
		return "resumable-stream"
	default:
		return "at-most-once"
	}
}

// Repeatable reports whether a request may be retried after an attempt that may
// have run.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streaming reports whether the answer is an event stream.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }

// Target is a destination of a route: a service with its weight, in proportion to
// which it receives requests.
type Target struct {
	Service string
	Weight  int
}

// Route matches the requests for Host whose path starts with Prefix, and states
// how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the final answer; zero means no bound.
	Timeout time.Duration
	// LatencyTarget is the objective for the time until the answer, or until the
	// first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the objective for the time between two events of a stream: a
	// longer gap does not count as on time.
	GapTarget time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Targets are the services between which the requests are split.
	Targets []Target
	// MaxAttempts is the maximum number of upstreams on which one request may run.
	MaxAttempts int
	// Public means that requests need no API key.
	Public bool
	// Regions are the regions in which requests may be handled; empty for all.
	Regions []string
}

// SelectService selects the service for a request in proportion to the weights of
// the targets. The selection depends only on a hash of the id, so that the same id
// always gives the same service. It returns "" if the route has no targets, or
// several whose weights are all zero.
func (r *Route) SelectService(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	offset := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if offset -= t.Weight; offset < 0 {
			return t.Service
		}
	}
	return ""
}

// Engine holds the properties of the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the size of the KV cache, in tokens, which running requests
	// and cached prompt prefixes share.
	CacheTokens int
	// TokenBytes is the size of one token in the KV cache, in bytes.
	TokenBytes float64
	// LinkBytesPerSecond is the rate at which engines copy KV cache to each other.
	LinkBytesPerSecond float64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// Moves means that the engines can migrate running requests to each other.
	Moves bool
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConns is the number of connections that one upstream accepts from all
	// callers together.
	MaxConns int
	// Engine is nil if the upstreams are not model engines.
	Engine *Engine
	// Cold is what an upstream tolerates after its start, nil if that is not bounded.
	// ColdUnknown means that the configuration has a value that could not be read.
	Cold        *ColdStart
	ColdUnknown bool
}

// ColdStart bounds the requests to an upstream that has just started.
type ColdStart struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests a second that it tolerates while it is cold.
	PerSecond float64
}

// Organisation is a customer that shares the capacity.
type Organisation struct {
	Name string
	// Keys are the organisation's API keys.
	Keys []string
	// Regions are the regions in which requests may be handled; empty for all.
	Regions []string
}

// Limits are the bounds for what callers send, and the expected throughput of the
// engines.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokenRate is the expected throughput of all engines together, in prompt
	// tokens plus twice the generated tokens per second; 0 if not stated.
	TokenRate float64
}

// Table is one version of the routes, services and organisations in force.
type Table struct {
	Version      uint64
	Limits       Limits
	services     map[string]*Service
	hosts        map[string][]*Route
	keys         map[string]string
	requiresKeys bool
	// orgRegions holds the regions of the organisations that name any.
	orgRegions map[string][]string
}

// NewTable returns a Table. It keeps references to the targets, engines and keys, which must
// not be modified afterwards. A request in progress keeps its own route in memory, not the
// others of its version.
func NewTable(version uint64, limits Limits, routes []Route, services []Service, orgs []Organisation) *Table {
	t := &Table{
		Version: version, Limits: limits,
		services:     make(map[string]*Service, len(services)),
		hosts:        make(map[string][]*Route),
		keys:         make(map[string]string),
		requiresKeys: len(orgs) > 0,
		orgRegions:   make(map[string][]string),
	}
	for _, s := range services {
		t.services[s.Name] = &s
	}
	for _, r := range routes {
		host := canonicalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], &r)
	}
	for _, hostRoutes := range t.hosts {
		// The longest prefix comes first, so that Match can return the first match.
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	for _, org := range orgs {
		for _, key := range org.Keys {
			t.keys[key] = org.Name
		}
		if len(org.Regions) > 0 {
			t.orgRegions[org.Name] = org.Regions
		}
	}
	return t
}

// Match returns the route with the longest prefix that matches a host and path, or
// nil if there is none. Ports and the case of hosts are ignored.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns the names of all services, in order.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// Organisation returns the name of the organisation that owns an API key.
func (t *Table) Organisation(key string) (name string, ok bool) {
	name, ok = t.keys[key]
	return name, ok
}

// RequiresKey reports whether any organisation is configured, so that requests need
// an API key.
func (t *Table) RequiresKey() bool { return t.requiresKeys }

// canonicalHost returns a host in lower case without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
