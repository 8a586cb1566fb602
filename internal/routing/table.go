package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated of a request and how its answer arrives.
type Kind uint8

// The kinds of request.
const (
	// AtMostOnce requests must not run twice. It is the zero value, so that a
	// kind that is not known is never repeated.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream answers are event streams that must not run twice.
	Stream
	// ResumableStream answers are event streams that another upstream may
	// continue after the last event that was delivered.
	ResumableStream
)

// String names the kind as it stands in logs.
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

// Repeatable reports whether a request may be sent again after it may have run.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streaming reports whether the answer is an event stream.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }

// Target is a service that a route leads to, with its weight in a split.
type Target struct {
	Service string
	Weight  int
}

// Route leads the requests of a host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time to the final answer; zero means no bound.
	Timeout time.Duration
	// LatencyTarget is the objective for the answer, or for the first event of a
	// stream.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events of a stream that still
	// counts as on time.
	GapTarget time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the upstreams on which one request may run.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
}

// Service picks the service of a request in proportion to the weights. The same
// id always gives the same service.
func (r *Route) Service(requestID string) string {
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

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at a time.
	Slots int
	// CacheTokens is the memory that running requests and cached prompt parts
	// share, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes float64
	// LinkBytesPerSecond is the rate at which engines copy KV cache.
	LinkBytesPerSecond float64
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
	// Moves means that the engines hand running requests over to each other.
	Moves bool
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name string
	// MaxConns is how many connections an upstream accepts from all callers.
	MaxConns int
	// Engine is nil for services that are no model engines.
	Engine *Engine
}

// Organisation is a customer that shares the capacity.
type Organisation struct {
	Name string
	Keys []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokenRate is what all engines together are expected to process, in
	// prompt tokens plus twice the generated tokens a second; 0 if not stated.
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
}

// NewTable builds a table.
func NewTable(version uint64, limits Limits, routes []Route, services []Service, orgs []Organisation) *Table {
	t := &Table{
		Version: version, Limits: limits,
		services:     make(map[string]*Service, len(services)),
		hosts:        make(map[string][]*Route),
		keys:         make(map[string]string),
		requiresKeys: len(orgs) > 0,
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		host := canonicalHost(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, hostRoutes := range t.hosts {
		// The longest prefix comes first, so that the first match is the route.
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	for _, org := range orgs {
		for _, key := range org.Keys {
			t.keys[key] = org.Name
		}
	}
	return t
}

// Match returns the route of a host and path, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, nil if it is not configured.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the holder of an API key.
func (t *Table) Organisation(key string) (name string, ok bool) {
	name, ok = t.keys[key]
	return name, ok
}

// Keyed reports whether requests need an API key at all.
func (t *Table) Keyed() bool { return t.requiresKeys }

// canonicalHost is a host in lower case without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
