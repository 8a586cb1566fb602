package consul

import (
	"net"
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// The defaults of Options.
const (
	// DefaultNode is the catalog node under which the instances are registered.
	DefaultNode = "jujubeford"
	// DefaultTimeout limits a call that is not a blocking query.
	DefaultTimeout = 2 * time.Second
	// DefaultDialTimeout limits connecting to the service.
	DefaultDialTimeout = time.Second
	// DefaultWaitMargin is the default of Options.WaitMargin.
	DefaultWaitMargin = 2 * time.Second
)

const (
	// idleConnTimeout is how long an unused connection is kept open.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerHost limits the idle connections that are kept for later
	// calls.
	maxIdleConnsPerHost = 4
	// waitJitterDivisor gives the jitter of blocking queries: the service adds up
	// to the requested wait divided by it.
	waitJitterDivisor = 16
)

// Options are the settings of a Client. Zero fields get defaults, except Addr.
type Options struct {
	// Addr is the IP:port of the service.
	Addr string
	// Node is the catalog node under which the instances are registered.
	Node string
	// Timeout limits a call that is not a blocking query.
	Timeout time.Duration
	// DialTimeout limits connecting to the service.
	DialTimeout time.Duration
	// WaitMargin is how long after the end of its wait, jitter included, a blocking
	// query may still be answered.
	WaitMargin time.Duration
}

func (o Options) withDefaults() Options {
	if o.Node == "" {
		o.Node = DefaultNode
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.WaitMargin == 0 {
		o.WaitMargin = DefaultWaitMargin
	}
	return o
}

// Client calls the platform's key-value service and instance list. It is safe
// for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	counters  callCounters
}

var (
	_ store.Store     = (*Client)(nil)
	_ store.Directory = (*Client)(nil)
)

// New returns a client. It connects when the first call is made.
func New(options Options) *Client {
	options = options.withDefaults()
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	return &Client{
		options: options,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,

			MaxResponseHeaderBytes: maxResponseHeader,
		},
	}
}

// Close closes idle connections. Calls in flight keep theirs.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Stats returns the number of calls made so far.
func (c *Client) Stats() Stats { return c.counters.snapshot() }
