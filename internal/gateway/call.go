package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/exchange"
)

// effectQueueSize is how many effects may wait for a call's goroutine: a send, an
// abort and the final one.
const effectQueueSize = 4

// call is one caller's request under way.
type call struct {
	key     string
	caller  Caller
	request *dispatch.Request
	header  http.Header
	method  string
	target  string
	host    string
	body    []byte
	started time.Time

	effects chan dispatch.Effect
	// startMove carries out a move.
	startMove func(dispatch.Move)
	// reportAnswering tells the dispatcher that a silent attempt is not silent.
	reportAnswering func(dispatch.Abort)

	mu       sync.Mutex
	handover *handover
	exchange *exchange.Exchange
	ended    bool

	// writer state, used by the call's own goroutine only.
	wroteHeader bool
	lastEventID string
	// firstAt and lastAt are when the first and the last event were passed on,
	// and maxGap is the longest pause between two of them.
	firstAt, lastAt time.Time
	maxGap          time.Duration
	// upstream is the one that the last attempt went to.
	upstream string
	// lastFailure is the upstream's own failure, passed on if nothing better comes.
	lastFailure *upstreamFailure
}

// upstreamFailure is an answer of an upstream that is no success.
type upstreamFailure struct {
	status int
	header http.Header
	body   []byte
}

// recordChunk notes that a part of the answer goes to the caller.
func (c *call) recordChunk(now time.Time) {
	if c.firstAt.IsZero() {
		c.firstAt = now
	} else {
		c.maxGap = max(c.maxGap, now.Sub(c.lastAt))
	}
	c.lastAt = now
}

// timeToFirstChunk is the time to the first part of the answer, 0 if there was none.
func (c *call) timeToFirstChunk() time.Duration {
	if c.firstAt.IsZero() {
		return 0
	}
	return c.firstAt.Sub(c.started)
}

// deliver hands an effect to the call's goroutine. Final effects and aborts
// break off the exchange under way.
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
	case dispatch.Fail:
		c.effects <- e
		c.abort(true)
		return
	}
	c.effects <- e
}

// abort aborts the exchange under way; with for good, later ones as well.
func (c *call) abort(final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || final
	if c.exchange != nil {
		c.exchange.Abort()
	}
}

// abortIfSilent aborts the exchange under way if nothing of its answer has come.
func (c *call) abortIfSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange == nil || c.exchange.AbortIfSilent()
}

// setExchange makes an exchange known to breakOff; false means that the call has
// ended.
func (c *call) setExchange(e *exchange.Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = e
	return !c.ended
}
