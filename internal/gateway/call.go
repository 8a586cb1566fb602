package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/exchange"
	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/resumption"
)

// effectQueueSize is the capacity of a call's effect channel. A send, an abort and the
// final effect may wait for the call's goroutine.
const effectQueueSize = 4

// call is one caller's request in progress.
type call struct {
	key     string
	caller  Caller
	request *dispatch.Request
	header  http.Header
	method  string
	target  string
	host    string
	body    holding.Body
	// hold is the room for the body; nil if it takes none.
	hold *hold
	// conn is the caller's connection; nil if that is not known.
	conn    *callerConn
	started time.Time
	// offloadedFrom is the address of the router that the caller is connected to, if it
	// is another one.
	offloadedFrom string

	effects chan dispatch.Effect
	// startMove moves the call's stream to another upstream.
	startMove func(dispatch.Move)
	// startProbe probes an upstream after a connection of the call broke.
	startProbe func(dispatch.Probe)
	// reportAnswering tells the dispatcher that an attempt was not aborted as silent,
	// because part of its answer is waiting to be read.
	reportAnswering func(dispatch.Abort)

	mu       sync.Mutex
	handover *handover
	exchange *exchange.Exchange
	ended    bool

	// The fields below belong to the call's own goroutine.
	wroteHeader bool
	// reportedDone means that the dispatcher knows that the attempt has succeeded.
	reportedDone bool
	// streamStatus and streamType are the status and the Content-Type in that header, if the
	// answer is a stream.
	streamStatus int
	streamType   string
	// position is what the caller has of its stream.
	position resumption.Position
	// firstAt and lastAt are when the first and the latest chunk of the answer were
	// forwarded; maxGap is the longest pause between two chunks.
	firstAt, lastAt time.Time
	maxGap          time.Duration
	// pace measures the events of the latest attempt.
	pace eventPace
	// upstream is the id of the upstream of the latest attempt.
	upstream string
	// lastFailure is the latest error answer of an upstream. It is forwarded if no
	// other attempt succeeds.
	lastFailure *upstreamFailure
}

// upstreamFailure is an upstream's answer with an error status.
type upstreamFailure struct {
	status int
	header http.Header
	body   []byte
}

// recordChunk records the time at which a chunk of the answer is forwarded.
func (c *call) recordChunk(now time.Time) {
	if c.firstAt.IsZero() {
		c.firstAt = now
	} else {
		c.maxGap = max(c.maxGap, now.Sub(c.lastAt))
	}
	c.lastAt = now
}

// timeToFirstChunk is the time from the start of the call to the first chunk of its
// answer, 0 if there was none.
func (c *call) timeToFirstChunk() time.Duration {
	if c.firstAt.IsZero() {
		return 0
	}
	return c.firstAt.Sub(c.started)
}

// deliver carries out an Abort, starts a Move or a Probe, and hands other effects to the call's
// goroutine. A Fail also aborts the exchange in progress.
func (c *call) deliver(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.Abort:
		if !c.abortIfSilent() {
			go c.reportAnswering(e)
		}
		return
	case dispatch.Move:
		go c.startMove(e)
		return
	case dispatch.Probe:
		go c.startProbe(e)
		return
	case dispatch.Fail:
		c.effects <- e
		c.abort(true)
		return
	}
	c.effects <- e
}

// abort aborts the exchange in progress. If final is set, no later exchange is started
// either.
func (c *call) abort(final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || final
	if c.exchange != nil {
		c.exchange.Abort()
	}
}

// abortIfSilent aborts the exchange in progress unless part of its answer, or its end,
// is waiting to be read. It reports false if it left the exchange alone for that
// reason.
func (c *call) abortIfSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange == nil || c.exchange.AbortIfSilent()
}

// setExchange makes an exchange the one that abort and abortIfSilent act on; nil clears
// it. It reports false if the call has ended.
func (c *call) setExchange(e *exchange.Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = e
	return !c.ended
}
