package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/upstream"
)

// cancelTimeout bounds the request that cancels a stream at an upstream.
const cancelTimeout = 2 * time.Second

// commandQueueSize is the capacity of a call's command channel.
const commandQueueSize = 8

// memoryBudget is a number of bytes shared by all requests in flight.
type memoryBudget struct{ available atomic.Int64 }

// reserve takes size bytes from the budget; it returns false, and takes none, if
// fewer are available.
func (m *memoryBudget) reserve(size int64) bool {
	if m.available.Add(-size) < 0 {
		m.available.Add(size)
		return false
	}
	return true
}

// release returns size reserved bytes to the budget.
func (m *memoryBudget) release(size int64) { m.available.Add(size) }

// call is the state of a caller's request while its HTTP handler runs.
type call struct {
	id           core.RequestID
	organisation string
	service      *config.Service
	method       string
	path         string
	header       http.Header
	body         []byte
	atMostOnce   bool
	// fingerprint is the SHA-256 of the request's method, path and body.
	fingerprint [32]byte
	// reserved is the number of bytes that the call holds of Router.bodyMemory.
	reserved int64
	// commands receives the effects for this call, in order.
	commands chan core.Effect

	mu       sync.Mutex
	attempts map[core.Attempt]*attempt
	// streamID and streamOffset are the position that a resume continues from.
	streamID     string
	streamOffset uint64

	// forwardMu is held while an answer is forwarded to the caller. It guards
	// partial, the part of a stream that the caller has received, which another
	// upstream may continue.
	forwardMu sync.Mutex
	partial   partialAnswer
}

// attempt is one send of a call's request to an upstream.
type attempt struct {
	cancel context.CancelFunc
	addr   string
	// streamID is the upstream's stream, set once its first chunk was read; ended
	// means that the stream need not be cancelled. Both are guarded by call.mu.
	streamID string
	ended    bool
	// answer and firstChunk are set before AttemptFirstByte is posted to the
	// reducer.
	answer     *upstream.Response
	firstChunk upstream.Chunk
	// baseTokens is the number of tokens of the same stream before this attempt.
	baseTokens uint64
	// continues means that the answer continues a stream of another upstream.
	continues bool
}

// sendCommand passes an effect to the call's handler without blocking. The channel
// has room for every command that a call can get: one commit for each attempt and
// one that ends the call. A full channel is a bug and panics.
func (r *Router) sendCommand(id core.RequestID, effect core.Effect) {
	if c := r.findCall(id); c != nil {
		select {
		case c.commands <- effect:
		default:
			panic("command channel full: more than one commit per attempt and one end")
		}
	}
}

// findCall returns the call with an id, or nil if it has ended.
func (r *Router) findCall(id core.RequestID) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[id]
}

func (r *Router) addCall(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.id] = c
}

// removeCall removes a call and ends its remaining attempts.
func (r *Router) removeCall(c *call) {
	r.mu.Lock()
	delete(r.calls, c.id)
	r.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		r.endAttemptLocked(a)
	}
}

// cancelAttempt ends one attempt of a call, if the call has it.
func (r *Router) cancelAttempt(c *call, number core.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[number]; a != nil {
		r.endAttemptLocked(a)
	}
}

// endAttemptLocked ends an attempt; the caller holds call.mu. It must not block, as
// the reducer's loop calls it too.
func (r *Router) endAttemptLocked(a *attempt) {
	a.cancel()
	if a.ended {
		return
	}
	a.ended = true
	if a.answer != nil {
		go r.discardAnswer(a.answer, a.addr, a.streamID)
	}
}

// discardAnswer closes an answer that is no longer needed and asks the upstream to
// cancel its stream. Otherwise the upstream would keep the stream for a while in case
// of a resume, although its slot has been granted again.
func (r *Router) discardAnswer(answer *upstream.Response, addr, streamID string) {
	answer.Close()
	if streamID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := r.client.CancelStream(ctx, addr, streamID); err != nil {
		klog.V(1).InfoS("Router: cannot cancel the stream at the upstream.", "addr", addr, "stream", streamID, "err", err)
	}
}

// setAnswer stores an attempt's answer after its first chunk was read.
func (c *call) setAnswer(a *attempt, answer *upstream.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.answer, a.streamID = answer, answer.StreamID()
}

// markComplete records that an attempt's answer arrived whole.
func (c *call) markComplete(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.ended = true
}

func (c *call) attempt(number core.Attempt) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[number]
}

func (c *call) addAttempt(number core.Attempt, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[number] = a
}

// advance records the offset that the stream has reached. The offset of a stream
// never decreases; another stream id starts again from 0.
func (c *call) advance(streamID string, offset uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if streamID != c.streamID {
		c.streamID, c.streamOffset = streamID, 0
	}
	c.streamOffset = max(c.streamOffset, offset)
}

// resumePoint returns the stream and offset to resume from. It returns false if no chunk has
// named the stream.
func (c *call) resumePoint() (*upstream.Resume, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &upstream.Resume{StreamID: c.streamID, Offset: c.streamOffset}, c.streamID != ""
}

// startAttempt sends the call's request to an upstream and waits for the first chunk
// of the answer. The call's handler forwards the answer once the reducer has
// committed the attempt.
func (r *Router) startAttempt(c *call, send core.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{cancel: cancel, addr: send.Addr, continues: send.Continue}
	c.addAttempt(send.Attempt, a)
	body, ok := c.requestBody(send)
	var resume *upstream.Resume
	if ok && send.Resume {
		resume, ok = c.resumePoint()
	}
	if !ok {
		cancel()
		r.post(core.AttemptFailed{Request: c.id, Attempt: send.Attempt, Failure: core.FailStatus})
		return
	}
	req := &upstream.Request{
		Addr: send.Addr, Method: c.method, Path: c.path, Header: c.header, Body: body,
		Service: c.service.Kind, RequestID: c.id, Attempt: send.Attempt, SilentAfter: send.SilentAfter,
		NewConn: c.atMostOnce, Resume: resume,
	}
	if resume != nil {
		a.baseTokens = resume.Offset
	}
	answer, failure := r.client.Do(ctx, req)
	if failure == nil {
		a.firstChunk, failure = answer.Next(ctx)
		// Data is valid only until the next chunk is read; it is copied, as it is
		// kept until the commit.
		a.firstChunk.Data = append([]byte(nil), a.firstChunk.Data...)
		c.setAnswer(a, answer)
	}
	if failure != nil {
		cancel()
		if answer != nil {
			answer.Close()
		}
		r.postFailure(c, send.Attempt, failure, 0)
		return
	}
	r.post(core.AttemptFirstByte{Request: c.id, Attempt: send.Attempt, Status: answer.Status})
}

// postFailure reports a failed attempt to the reducer; tokens is the number of tokens
// forwarded to the caller so far.
func (r *Router) postFailure(c *call, number core.Attempt, failure *upstream.Failure, tokens uint64) {
	r.post(core.AttemptFailed{
		Request: c.id, Attempt: number, Failure: failure.Kind, Sent: failure.Sent, Tokens: tokens, Leaving: failure.Leaving,
	})
}
