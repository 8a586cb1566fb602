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

// cancelTimeout bounds the call that asks an upstream to drop a stream.
const cancelTimeout = 2 * time.Second

// commandQueueSize is how many effects may wait for a call's handler.
const commandQueueSize = 8

// memoryBudget is what requests may hold together, in bytes.
type memoryBudget struct{ available atomic.Int64 }

func (m *memoryBudget) reserve(size int64) bool {
	if m.available.Add(-size) < 0 {
		m.available.Add(size)
		return false
	}
	return true
}

func (m *memoryBudget) release(size int64) { m.available.Add(size) }

// call is a caller's request while its handler runs.
type call struct {
	id           core.RequestID
	organisation string
	service      *config.Service
	method       string
	path         string
	header       http.Header
	body         []byte
	atMostOnce   bool
	// fingerprint names the request by its method, path and body.
	fingerprint [32]byte
	// reserved is what the call holds of the memory for bodies.
	reserved int64
	// commands are the effects that concern this call, in order.
	commands chan core.Effect

	mu       sync.Mutex
	attempts map[core.Attempt]*attempt
	// streamID and offset name the place that a resume continues from.
	streamID     string
	streamOffset uint64

	// forwardMu is held while an answer is passed to the caller; it guards
	// text, what the caller has of a stream that another upstream could go on
	// with.
	forwardMu sync.Mutex
	partial   partialAnswer
}

// attempt is one send under way.
type attempt struct {
	cancel context.CancelFunc
	addr   string
	// streamID names the upstream's stream once its first chunk is there, ended
	// means that it needs no cancelling any more; both are guarded by the call.
	streamID string
	ended    bool
	// answer and first are set before the reducer hears of the attempt.
	answer     *upstream.Answer
	firstChunk upstream.Chunk
	// baseTokens is how many tokens of the same stream came before this attempt.
	baseTokens uint64
	// continues means that the answer goes on with that of another upstream.
	continues bool
}

// sendCommand passes an effect to the call's handler. The queue holds more than a
// call can get: one commit for each attempt and one end.
func (r *Router) sendCommand(id core.RequestID, effect core.Effect) {
	if c := r.findCall(id); c != nil {
		select {
		case c.commands <- effect:
		default:
			panic("call has more commands than attempts and an end allow")
		}
	}
}

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

// removeCall forgets a call and ends what is left of its attempts.
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

func (r *Router) cancelAttempt(c *call, number core.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[number]; a != nil {
		r.endAttemptLocked(a)
	}
}

// endAttemptLocked ends an attempt, with the call's lock held. Nothing here waits: it is
// called by the loop too.
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

// discardAnswer closes an answer that is not wanted any more and tells the upstream to
// drop its stream: it would keep it for a while in case of a resume, although its
// slot is granted again.
func (r *Router) discardAnswer(answer *upstream.Answer, addr, streamID string) {
	answer.Close()
	if streamID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := r.client.CancelStream(ctx, addr, streamID); err != nil {
		klog.V(1).InfoS("Router: stream not cancelled.", "addr", addr, "stream", streamID, "err", err)
	}
}

// setAnswer notes an attempt's answer, whose first chunk was read.
func (c *call) setAnswer(a *attempt, answer *upstream.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.answer, a.streamID = answer, answer.StreamID()
}

// markComplete notes that an attempt's answer is whole.
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

// advance notes how far the stream has come.
func (c *call) advance(streamID string, offset uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if streamID != c.streamID {
		c.streamID, c.streamOffset = streamID, 0
	}
	c.streamOffset = max(c.streamOffset, offset)
}

func (c *call) resumePoint() *upstream.Resume {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &upstream.Resume{StreamID: c.streamID, Offset: c.streamOffset}
}

// startAttempt sends a request to an upstream and waits for the start of its answer.
// The handler forwards the rest once the reducer has committed the attempt.
func (r *Router) startAttempt(c *call, send core.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{cancel: cancel, addr: send.Addr, continues: send.Continue}
	c.addAttempt(send.Attempt, a)
	body, ok := c.requestBody(send)
	if !ok {
		cancel()
		r.post(core.AttemptFailed{Request: c.id, Attempt: send.Attempt, Failure: core.FailStatus})
		return
	}
	req := &upstream.Request{
		Addr: send.Addr, Method: c.method, Path: c.path, Header: c.header, Body: body,
		Service: c.service.Kind, RequestID: c.id, Attempt: send.Attempt, SilentAfter: send.SilentAfter,
		Fresh: c.atMostOnce,
	}
	if send.Resume {
		req.Resume = c.resumePoint()
		a.baseTokens = req.Resume.Offset
	}
	answer, failure := r.client.Do(ctx, req)
	if failure == nil {
		a.firstChunk, failure = answer.Next(ctx)
		// The chunk's data is only valid until the next one; it waits for the
		// commit, so it is kept.
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
	r.post(core.AttemptFirst{Request: c.id, Attempt: send.Attempt, Status: answer.Status})
}

func (r *Router) postFailure(c *call, number core.Attempt, failure *upstream.Failure, tokens uint64) {
	r.post(core.AttemptFailed{
		Request: c.id, Attempt: number, Failure: failure.Kind, Sent: failure.Sent, Tokens: tokens, Leaving: failure.Leaving,
	})
}
