// Package fleet describes the routers and upstreams that a load run uses.
package fleet

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Fleet is a set of routers and their upstreams. All addresses must be loopback
// addresses.
type Fleet struct {
	// Policy is the scheduling policy that the routers run.
	Policy  string     `yaml:"policy" json:"policy"`
	Routers []Router   `yaml:"routers" json:"routers"`
	Engines []Upstream `yaml:"engines" json:"engines"`
	Plain   []Upstream `yaml:"plain" json:"plain"`
	// Slots is the number of requests that one engine runs at the same time.
	Slots int `yaml:"slots" json:"slots"`
	// Relay is the address of the relays' control endpoint; empty if the routers
	// connect to each other and to the platform without relays.
	Relay string `yaml:"relay" json:"relay"`
	// Store is the address of the platform.
	Store string `yaml:"store" json:"store"`
	// TokenTime is the time that an engine takes for each token of a running
	// request.
	TokenTime time.Duration `yaml:"token_time" json:"token_time"`
}

// Router is one router of the fleet.
type Router struct {
	Name   string `yaml:"name" json:"name"`
	Domain string `yaml:"domain" json:"domain"`
	// Addr is the address for callers.
	Addr string `yaml:"addr" json:"addr"`
	// Admin is the address of the metrics endpoint; optional.
	Admin string `yaml:"admin" json:"admin"`
	// Peer is the address on which the router accepts connections of other routers,
	// PeerRelay the relay's address to which these connect, and StoreRelay the
	// relay's address through which the router connects to the platform.
	Peer       string `yaml:"peer" json:"peer"`
	PeerRelay  string `yaml:"peer_relay" json:"peer_relay"`
	StoreRelay string `yaml:"store_relay" json:"store_relay"`
	// PIDFile is the path of the file with the process id; optional.
	PIDFile string `yaml:"pid_file" json:"pid_file"`
}

// Upstream is an engine or a plain service.
type Upstream struct {
	Name   string `yaml:"name" json:"name"`
	Domain string `yaml:"domain" json:"domain"`
	// Control is the address of the control endpoint, which injects faults and
	// reports runs. Several upstreams may share it.
	Control string `yaml:"control" json:"control"`
}

// ControlURL returns the URL of a path of the upstream's control endpoint.
func (u Upstream) ControlURL(path string) string {
	query := url.Values{"name": {u.Name}}
	return "http://" + u.Control + path + "?" + query.Encode()
}

// Load reads and checks a fleet file.
func Load(path string) (*Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read fleet")
	}
	var f Fleet
	if err := yaml.Unmarshal(text, &f); err != nil {
		return nil, errors.Wrapf(err, "decode %s", path)
	}
	return &f, errors.Wrap(f.Check(), path)
}

// Check returns the first error found in the fleet, such as an address that is not
// a loopback address.
func (f *Fleet) Check() error {
	if len(f.Routers) == 0 {
		return errors.New("the fleet has no routers")
	}
	for _, r := range f.Routers {
		if r.Addr == "" {
			return errors.Errorf("router %s has no address", r.Name)
		}
		if err := checkLoopback(r.Addr, r.Admin, r.Peer, r.PeerRelay, r.StoreRelay); err != nil {
			return errors.Wrapf(err, "router %s", r.Name)
		}
	}
	for _, u := range append(append([]Upstream{}, f.Engines...), f.Plain...) {
		if err := checkLoopback(u.Control); err != nil {
			return errors.Wrapf(err, "upstream %s", u.Name)
		}
	}
	return errors.Wrap(checkLoopback(f.Relay, f.Store), "platform")
}

// TotalSlots returns the number of model requests that the fleet can run at the
// same time.
func (f *Fleet) TotalSlots() int { return len(f.Engines) * f.Slots }

// TokenRate returns the capacity of all engines in tokens per second, or 0 if
// TokenTime isn't set.
func (f *Fleet) TokenRate() float64 {
	if f.TokenTime <= 0 {
		return 0
	}
	return float64(f.TotalSlots()) / f.TokenTime.Seconds()
}

// checkLoopback returns an error for the first address that is neither empty nor an
// IP:port with a loopback address.
func checkLoopback(addrs ...string) error {
	for _, addr := range addrs {
		if addr == "" {
			continue
		}
		ap, err := netip.ParseAddrPort(addr)
		if err != nil {
			return errors.Errorf("%q is not IP:port", addr)
		}
		if !ap.Addr().Unmap().IsLoopback() {
			return errors.Errorf("%s is not a loopback address", addr)
		}
	}
	return nil
}
