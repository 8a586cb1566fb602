// Package fleet describes the processes that a load run talks to.
package fleet

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Fleet is a set of routers with their upstreams, all on loopback addresses.
type Fleet struct {
	// Policy is the scheduling policy that the routers run.
	Policy  string     `yaml:"policy" json:"policy"`
	Routers []Router   `yaml:"routers" json:"routers"`
	Engines []Upstream `yaml:"engines" json:"engines"`
	Plain   []Upstream `yaml:"plain" json:"plain"`
	// Slots is how many requests one engine runs at a time.
	Slots int `yaml:"slots" json:"slots"`
	// Relay is where orders to cut failure domains are given; empty if the
	// routers reach each other and the platform, at Store, without relays.
	Relay string `yaml:"relay" json:"relay"`
	Store string `yaml:"store" json:"store"`
	// TokenTime is the time an engine takes for a token of a running request.
	TokenTime time.Duration `yaml:"token_time" json:"token_time"`
}

// Router is one router of the fleet.
type Router struct {
	Name   string `yaml:"name" json:"name"`
	Domain string `yaml:"domain" json:"domain"`
	// Addr is where callers connect.
	Addr string `yaml:"addr" json:"addr"`
	// Admin is where metrics are read; it may be empty.
	Admin string `yaml:"admin" json:"admin"`
	// Peer is where the router takes connections of other routers, PeerRelay
	// where these connect, and StoreRelay where the router reaches the platform.
	Peer       string `yaml:"peer" json:"peer"`
	PeerRelay  string `yaml:"peer_relay" json:"peer_relay"`
	StoreRelay string `yaml:"store_relay" json:"store_relay"`
	// PIDFile holds the id of the process; it may be empty.
	PIDFile string `yaml:"pid_file" json:"pid_file"`
}

// Upstream is an engine or a plain service.
type Upstream struct {
	Name   string `yaml:"name" json:"name"`
	Domain string `yaml:"domain" json:"domain"`
	// Control is where faults are switched on and runs are read; several
	// upstreams may share the address.
	Control string `yaml:"control" json:"control"`
}

// ControlURL is where a call on the upstream's control port goes.
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

// Check reports the first fault of a fleet, such as an address that is not a
// loopback address.
func (f *Fleet) Check() error {
	if len(f.Routers) == 0 {
		return errors.New("no routers")
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

// TotalSlots is how many model requests the fleet runs at a time.
func (f *Fleet) TotalSlots() int { return len(f.Engines) * f.Slots }

// TokenRate is the capacity of all engines in tokens a second.
func (f *Fleet) TokenRate() float64 {
	if f.TokenTime <= 0 {
		return 0
	}
	return float64(f.TotalSlots()) / f.TokenTime.Seconds()
}

// checkLoopback reports the first address that is given and is not a loopback
// address.
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
