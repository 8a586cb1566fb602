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
	// Listen is the address for callers, ReadyListen for the readiness check and
	// MetricsListen for metrics; the last may be empty.
	Listen, ReadyListen, MetricsListen string
	// PeerListen is the address for other routers: UDP for reports and TCP for copies
	// of the store's keys.
	PeerListen string
	// OffloadListen is the address at which other routers of the failure domain offload
	// callers' connections to this one (TCP); empty if they may not.
	OffloadListen string
	// Seeds are the peer addresses of other routers to start from.
	Seeds []string
	// Memory is the memory that the process may use, in bytes; 0 if not limited.
	Memory int64
	// Cores is the processor time that the process may use, in cores; 0 if not limited.
	Cores float64
	// Descriptors is the number of files and sockets that the process may have open; 0
	// if not limited.
	Descriptors int
	// Grace is how long stopping may take.
	Grace time.Duration
	// DrainTime is how long an upstream goes on serving after the store has accepted that it
	// leaves; defaultDrainTime if it is 0.
	DrainTime time.Duration

	Protocol  Protocol
	Directory Directory
	// Mover moves running streams between upstreams. If it is nil, streams stay where
	// they began.
	Mover      Mover
	Feed       store.Feed
	LeaseStore store.LeaseStore
	Dispatch   dispatch.Options
}

// Check returns all problems, one per line, or nil.
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
		{"offload-listen", o.OffloadListen, true},
	} {
		if a.addr == "" && a.optional {
			continue
		}
		if host, _, err := net.SplitHostPort(a.addr); err != nil || net.ParseIP(host) == nil {
			problems = append(problems, fmt.Sprintf("%s: %q is not IP:port", a.name, a.addr))
		}
	}
	if o.Protocol == nil || o.Directory == nil || o.Feed == nil || o.LeaseStore == nil {
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
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// idleTimeout is how long a caller's connection may stay unused. It exceeds the
	// limits that operators configure, since callers reuse connections up to these.
	idleTimeout = 5 * time.Minute
	// bodyShare is the share of the memory that the bodies of all non-streaming answers
	// may use.
	bodyShare = 0.25
	// headerBytes bounds a caller's header before the configuration is known.
	headerBytes = 64 << 10
	// answerBytes bounds a non-streaming answer, in bytes, and a caller's body if the
	// configuration sets no limit.
	answerBytes = 8 << 20
	// eventBytes bounds one event of a stream, and the events since the last one with
	// an id, in bytes. Events of the users' streams have some 80 bytes.
	eventBytes = 128 << 10
	// defaultTimeout bounds a request if its caller sets no timeout.
	defaultTimeout = 30 * time.Second
	// retryAfterNotReady is the Retry-After of a router that is not ready or out of
	// memory.
	retryAfterNotReady = 500 * time.Millisecond
	// graceMargin is how long before the platform kills the process a stop ends.
	graceMargin = 700 * time.Millisecond
	// endMargin is how long before the end of a stop the requests get an answer that have
	// none by then.
	endMargin = 100 * time.Millisecond
	// retryAfterStopping is the Retry-After of a router that is stopping: others are not.
	retryAfterStopping = 20 * time.Millisecond
	// rotationDelay is how long the platform may send new connections after the first
	// readiness check that failed.
	rotationDelay = 2200 * time.Millisecond
	// sweepInterval is the time between two sweeps of idle connections and two samples
	// of processor pressure.
	sweepInterval = 250 * time.Millisecond
)
