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
	// DefaultTimeout bounds a call that does not wait.
	DefaultTimeout = 2 * time.Second
	// DefaultDialTimeout bounds making a connection.
	DefaultDialTimeout = time.Second
	// DefaultGrace is how long an answer may come after the end of a wait.
	DefaultGrace = 2 * time.Second
)

const (
	// idleConnTimeout closes connections that were not used for so long.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerHost bounds the connections that are kept for the next call.
	maxIdleConnsPerHost = 4
	// waitJitterDivisor is the part of a wait by which the service may wait longer.
	waitJitterDivisor = 16
)

// Options are the settings of a Client.
type Options struct {
	// Addr is the IP:port of the service.
	Addr string
	// Node is the catalog node that holds the instances.
	Node string
	// Timeout bounds a call that does not wait.
	Timeout time.Duration
	// DialTimeout bounds making a connection.
	DialTimeout time.Duration
	// Grace is how long an answer may come after the end of a wait.
	Grace time.Duration
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
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	return o
}

// Client is a connection to the platform. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	counters  callCounters
}

var (
	_ store.Store     = (*Client)(nil)
	_ store.Directory = (*Client)(nil)
)

// New makes a client; it connects with the first call.
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

// Close closes the connections that no call uses.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Stats returns the counts of calls so far.
func (c *Client) Stats() Stats { return c.counters.snapshot() }
