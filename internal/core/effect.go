package core

import (
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// Effect is an action for the runtime to carry out; it is one of the effect
// types of this package.
type Effect interface{ effect() }

// Refuse ends a request before any of its answer was forwarded.
type Refuse struct {
	Request RequestID
	// Status is the HTTP status.
	Status  int
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time after which the caller may retry; zero if it
	// should not.
	RetryAfter time.Duration
}

// Replay answers a request with the recorded answer of the same operation.
type Replay struct {
	Request RequestID
	Answer  []byte
}

// Send sends a request to an upstream, exactly once. The runtime answers with
// AttemptFirstByte and then AttemptDone or AttemptFailed.
type Send struct {
	Request  RequestID
	Attempt  Attempt
	Upstream string
	Addr     string
	// SilentAfter is the idle timeout: the attempt fails if nothing is received
	// for that long.
	SilentAfter time.Duration
	// Resume continues the committed stream of this request on a new connection
	// to the same upstream, from the token offset that the caller has.
	Resume bool
	// Continue asks another upstream to continue the committed stream after the
	// text that the caller has.
	Continue bool
}

// Commit forwards an attempt's answer to the caller. At most one attempt of a
// request is committed, except that a stream may be resumed or continued by a
// later attempt.
type Commit struct {
	Request RequestID
	Attempt Attempt
}

// Cancel aborts an attempt whose answer is no longer needed, for example
// because another attempt was committed or the caller has gone.
type Cancel struct {
	Request RequestID
	Attempt Attempt
}

// Abort ends a request after part of its answer was forwarded, with an explicit
// error in the format of the answer.
type Abort struct {
	Request RequestID
	Outcome Outcome
	Reason  Reason
}

// Probe checks whether an upstream still accepts connections after it failed a
// request; the runtime answers with Probed.
type Probe struct {
	Request      RequestID
	Organisation string
	Fingerprint  [32]byte
	Upstream     string
	Addr         string
}

// Dial opens a connection to a router.
type Dial struct{ Addr string }

// Disconnect closes the connection to a router.
type Disconnect struct{ Peer RouterID }

// SendPeer sends a message to a router. The message is dropped if there is no
// connection to it.
type SendPeer struct {
	To      RouterID
	Message *wire.Envelope
}

// KVGet reads a key; the runtime answers with KVResult.
type KVGet struct {
	Op  OpID
	Key string
}

// KVCAS writes a key if its modify index is still Index; 0 means that the key
// must not exist.
type KVCAS struct {
	Op    OpID
	Key   string
	Value []byte
	Index uint64
}

// KVDelete removes a key if its modify index is still Index.
type KVDelete struct {
	Op    OpID
	Key   string
	Index uint64
}

// ApplyConfig puts a configuration into force at the runtime: keys, rules and limits.
type ApplyConfig struct {
	Generation uint64
	Config     *config.Config
}

// FetchConfig reads the configuration from the key-value service; the runtime
// answers with ConfigHead.
type FetchConfig struct{}

// DecodeConfig checks and decodes the parts that a peer sent; the runtime
// answers with ConfigHead.
type DecodeConfig struct{ Parts *wire.ConfigParts }

// Ready reports whether the router may accept requests.
type Ready struct{ Ready bool }

// Exit stops the process after a drain has finished.
type Exit struct{}

// Record adds a line to the record of a request.
type Record struct {
	Request RequestID
	// Event is a stable token for the event, such as "queued", "granted" or
	// "sent".
	Event string
	// Upstream is the upstream concerned, if any.
	Upstream string
	// Detail is a short sentence for people.
	Detail string
	// Owner and Grant identify the slot of a "granted" line.
	Owner RouterID
	Grant GrantID
}

// Observe records a value of a metric.
type Observe struct {
	Metric       Metric
	Service      string
	Organisation string
	Value        float64
}

// Metric identifies a metric.
type Metric int

// The metrics.
const (
	// MetricQueueTime is the time that a request waited for a slot, in seconds.
	MetricQueueTime Metric = iota + 1
	// MetricTimeToFirstByte is the time to the first byte of the answer, in seconds.
	MetricTimeToFirstByte
	// MetricTokenGap is the time between tokens, in seconds.
	MetricTokenGap
	// MetricResponseTime is the time to the complete answer, in seconds.
	MetricResponseTime
	// MetricServed is the service received (the cost), in the service's unit.
	MetricServed
	// MetricRefused counts refusals.
	MetricRefused
	// MetricRetried counts sends after the first.
	MetricRetried
	// MetricHedged counts hedges.
	MetricHedged
	// MetricMoved counts streams that were continued at another upstream.
	MetricMoved
)

func (Refuse) effect()       {}
func (Replay) effect()       {}
func (Send) effect()         {}
func (Commit) effect()       {}
func (Cancel) effect()       {}
func (Abort) effect()        {}
func (Probe) effect()        {}
func (Dial) effect()         {}
func (Disconnect) effect()   {}
func (SendPeer) effect()     {}
func (KVGet) effect()        {}
func (KVCAS) effect()        {}
func (KVDelete) effect()     {}
func (ApplyConfig) effect()  {}
func (FetchConfig) effect()  {}
func (DecodeConfig) effect() {}
func (Ready) effect()        {}
func (Exit) effect()         {}
func (Record) effect()       {}
func (Observe) effect()      {}
