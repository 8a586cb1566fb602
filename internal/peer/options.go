package peer

import (
	"crypto/tls"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// Defaults of Options.
const (
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultDialTimeout      = 2 * time.Second
	DefaultWriteTimeout     = 3 * time.Second
	DefaultKeepAlive        = 5 * time.Second
	DefaultProbeTimeout     = time.Second
)

// Handler receives connection events and messages. The calls for one router are
// ordered: PeerUp, any number of Message, PeerDown. Calls for different routers
// may be concurrent, and so may calls with bulk messages of one router. A call
// that blocks delays reading from that router's connection.
type Handler interface {
	// PeerUp is called when an authenticated connection to a router is
	// established.
	PeerUp(*wire.Member)
	// PeerDown is called when the connection to a router is closed.
	PeerDown(core.RouterID)
	// DialFailed is called when a Dial did not result in a connection.
	DialFailed(addr string)
	// Message is called for each message received from a router.
	Message(core.RouterID, *wire.Envelope)
}

// Options configures a transport.
type Options struct {
	// Self returns this router's current member record.
	Self func() *wire.Member
	// Key is the fleet's shared key.
	Key []byte
	// TLS enables TLS on all connections if it is not nil.
	TLS *tls.Config
	// Handler receives connection events and messages.
	Handler Handler
	// HandshakeTimeout bounds the handshake, including the TLS handshake.
	HandshakeTimeout time.Duration
	// DialTimeout bounds the TCP connect.
	DialTimeout time.Duration
	// WriteTimeout bounds each write to a connection.
	WriteTimeout time.Duration
	// ProbeTimeout is how long a peer may take to answer a keepalive ping.
	ProbeTimeout time.Duration
	// KeepAlive is the interval without received data after which the peer is
	// pinged.
	KeepAlive time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
