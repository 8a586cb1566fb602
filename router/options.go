package router

import (
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/store"
)

// Policy selects how the slots of upstreams are shared between routers.
type Policy = reducer.Policy

// The policies.
const (
	// PolicyOwner shares slots fairly over the whole fleet; it is the default.
	PolicyOwner = reducer.PolicyOwner
	// PolicyBaseline lets each router schedule alone over a fixed part of each
	// upstream's slots. It exists as a baseline for measurements.
	PolicyBaseline = reducer.PolicyBaseline
)

// Defaults and limits of Options.
const (
	DefaultMaxBody      = 2 << 20 // bytes
	DefaultDrainTimeout = 2 * time.Minute
	// minClusterKey is the minimum length of the shared key, in bytes.
	minClusterKey = 16
)

// Options are the settings of a router.
type Options struct {
	// Name is unique among the routers that run at the same time.
	Name string
	// Domain is the failure domain of this instance.
	Domain string
	// Listen, PeerListen and AdminListen are the addresses, as IP:port, that serve
	// callers, other routers and operators.
	Listen, PeerListen, AdminListen string
	// PeerAdvertise and AdminAdvertise are the addresses at which others reach this
	// router; empty means PeerListen and AdminListen.
	PeerAdvertise, AdminAdvertise string
	// Peers are peer addresses of other routers, used to join the fleet.
	Peers []string
	// ClusterKey is the fleet's shared key, which authenticates peers.
	ClusterKey []byte
	// TLS is the configuration for serving callers over TLS, with HTTP/2; nil means
	// plain HTTP.
	TLS *tls.Config
	// PeerTLS is the TLS configuration of connections between routers, in addition
	// to the authentication by ClusterKey; nil means plain TCP.
	PeerTLS *tls.Config
	// Store and Directory are the platform's key-value store and instance list.
	Store     store.Store
	Directory store.Directory
	// Policy is PolicyOwner or PolicyBaseline.
	Policy Policy
	// Routers is the number of routers in the fleet; only PolicyBaseline uses it.
	Routers int
	// MaxBody bounds the body of one request, in bytes.
	MaxBody int
	// DrainTimeout is how long a drain may last; requests that are still running
	// then end with an explicit error.
	DrainTimeout time.Duration
}

// OptionErrors lists all invalid values found in Options.
type OptionErrors []string

// Error returns the invalid values, one per line.
func (e OptionErrors) Error() string { return strings.Join(e, "\n") }

// Check fills in defaults and validates the options. It returns all invalid values
// together, as OptionErrors, or nil.
func (o *Options) Check() error {
	var invalid OptionErrors
	addError := func(format string, args ...any) { invalid = append(invalid, fmt.Sprintf(format, args...)) }
	if o.Name == "" || strings.ContainsAny(o.Name, ". /") {
		addError("name: %q must not be empty or contain dots, spaces or slashes", o.Name)
	}
	if o.Domain == "" {
		addError("domain: must not be empty")
	}
	for _, a := range []struct{ name, addr string }{
		{"listen", o.Listen}, {"peer-listen", o.PeerListen}, {"admin-listen", o.AdminListen},
	} {
		if err := checkAddr(a.addr); err != nil {
			addError("%s: %v", a.name, err)
		}
	}
	for _, p := range o.Peers {
		if err := checkAddr(p); err != nil {
			addError("peers: %v", err)
		}
	}
	if len(o.ClusterKey) < minClusterKey {
		addError("cluster-key: must be at least %d bytes long", minClusterKey)
	}
	if o.Store == nil || o.Directory == nil {
		addError("store: Store and Directory must both be set")
	}
	if o.Policy == "" {
		o.Policy = PolicyOwner
	}
	if o.Policy != PolicyOwner && o.Policy != PolicyBaseline {
		addError("policy: %q is neither %q nor %q", o.Policy, PolicyOwner, PolicyBaseline)
	}
	if o.MaxBody == 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.DrainTimeout == 0 {
		o.DrainTimeout = DefaultDrainTimeout
	}
	if len(invalid) > 0 {
		return invalid
	}
	return nil
}

// checkAddr returns an error unless addr is IP:port.
func checkAddr(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not IP:port", addr)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q does not start with an IP address", addr)
	}
	return nil
}
