package gateway

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/store"
)

// Options are the settings of a gateway.
type Options struct {
	// Name is unique among the routers that run at the same time.
	Name   string
	Domain string
	// Listen serves callers, ReadyListen the readiness check and MetricsListen
	// the metrics; the last may be empty.
	Listen, ReadyListen, MetricsListen string
	// PeerListen serves other routers, over UDP for reports and over TCP for
	// copies of the store's keys.
	PeerListen string
	// Seeds are peer addresses of other routers, to start from.
	Seeds []string
	// Memory is what the process may use, in bytes; 0 if it is not bounded.
	Memory int64
	// Cores is the processor time that the process may use, in cores; 0 if that is
	// not bounded.
	Cores float64
	// Descriptors is how many files and sockets the process may have open; 0 if
	// that is not bounded.
	Descriptors int
	// Grace is how long a stop may last.
	Grace time.Duration

	Protocol  Protocol
	Directory Directory
	// Mover may be nil; streams then stay where they began.
	Mover    Mover
	Feed     store.Feed
	Register store.Register
	Dispatch dispatch.Options
}

// Check returns all mistakes, one a line, or nil.
func (o *Options) Check() error {
	var problems []string
	if o.Name == "" {
		problems = append(problems, "name: must not be empty")
	}
	if o.Domain == "" {
		problems = append(problems, "domain: must not be empty")
	}
	for _, a := range []struct {
		name, addr string
		optional   bool
	}{
		{"listen", o.Listen, false}, {"ready-listen", o.ReadyListen, false},
		{"peer-listen", o.PeerListen, false}, {"metrics-listen", o.MetricsListen, true},
	} {
		if a.addr == "" && a.optional {
			continue
		}
		if host, _, err := net.SplitHostPort(a.addr); err != nil || net.ParseIP(host) == nil {
			problems = append(problems, fmt.Sprintf("%s: %q is not IP:port", a.name, a.addr))
		}
	}
	if o.Protocol == nil || o.Directory == nil || o.Feed == nil || o.Register == nil {
		problems = append(problems, "platform: no adapter given")
	}
	if len(problems) > 0 {
		return fmt.Errorf("%s", strings.Join(problems, "\n"))
	}
	return nil
}

const (
	// headerTimeout bounds how long a caller may take to send its header.
	headerTimeout = 10 * time.Second
	// bodyTimeout is the same for the body.
	bodyTimeout = 30 * time.Second
	// idleTimeout is how long a caller's connection may stay unused. It is over
	// what operators allow, since callers reuse connections up to that.
	idleTimeout = 5 * time.Minute
	// bodyShare is the part of the memory that the bodies of all requests under
	// way may fill, and those of their answers that are no streams as well.
	bodyShare = 0.25
	// headerBytes bounds a caller's header before the configuration is known.
	headerBytes = 64 << 10
	// answerBytes bounds an answer that is no stream.
	answerBytes = 8 << 20
	// eventBytes bounds one event of a stream, and what comes of a stream without the
	// id of an event. Events of the users' streams have some 80 bytes.
	eventBytes = 128 << 10
	// defaultTimeout is how long a request may last if neither its caller nor
	// its route says.
	defaultTimeout = 30 * time.Second
	// retryAfterNotReady is when to come back to a router without configuration.
	retryAfterNotReady = 500 * time.Millisecond
	// graceMargin is how much sooner than the platform's kill a stop ends.
	graceMargin = 700 * time.Millisecond
	// rotationDelay is how long the platform may send new connections after the
	// first answer that this router is not ready.
	rotationDelay = 2200 * time.Millisecond
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = 250 * time.Millisecond
)
