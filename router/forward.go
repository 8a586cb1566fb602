package router

import (
	"context"
	"net/http"
	"time"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/upstream"
)

const (
	// A stream's progress is reported to the reducer after progressTokens tokens or
	// progressInterval, whichever comes first.
	progressTokens   = 64
	progressInterval = 150 * time.Millisecond
)

// runCall handles a call's commands until the call ends, the caller disconnects or
// the router stops.
func (r *Router) runCall(w http.ResponseWriter, req *http.Request, c *call) {
	reply := newReplyWriter(w, c)
	callerGone := req.Context().Done()
	for {
		select {
		case <-callerGone:
			r.post(core.CallerGone{Request: c.id})
			if !c.atMostOnce {
				return
			}
			// An at-most-once request continues without its caller, so that its
			// outcome is recorded.
			reply.discard()
			callerGone = nil
		case <-r.loopDone:
			reply.abort(core.Abort{Outcome: core.MayHaveRun, Reason: core.ReasonShutdown})
			return
		case e := <-c.commands:
			if r.handleCommand(req.Context(), reply, c, e) {
				return
			}
		}
	}
}

// handleCommand executes one command of a call and reports whether the call has
// ended.
func (r *Router) handleCommand(ctx context.Context, reply *replyWriter, c *call, effect core.Effect) bool {
	switch e := effect.(type) {
	case core.Refuse:
		reply.refuse(e)
		return true
	case core.Replay:
		reply.replay(e)
		return true
	case core.Abort:
		reply.abort(e)
		return true
	case core.Commit:
		a := c.attempt(e.Attempt)
		if a == nil || a.answer == nil {
			return false
		}
		if c.atMostOnce {
			ctx = context.WithoutCancel(ctx)
		}
		return r.forwardAnswer(ctx, reply, c, e.Attempt, a)
	}
	return false
}

// forwardAnswer forwards a committed answer to the caller until it is complete. It
// returns true when the call has ended: the answer is complete, or the caller is
// gone. It returns false if the attempt failed; the reducer then decides what
// follows.
func (r *Router) forwardAnswer(ctx context.Context, reply *replyWriter, c *call, number core.Attempt, a *attempt) bool {
	c.forwardMu.Lock()
	defer c.forwardMu.Unlock()
	reply.begin(a.answer)
	progress := progressReporter{r: r, c: c, attempt: number, lastChunkAt: time.Now(), tokens: a.baseTokens, reportedTokens: a.baseTokens}
	chunk := a.firstChunk
	for {
		c.advance(a.answer.StreamID(), chunk.Offset)
		if err := reply.write(c.callerData(a, chunk)); err != nil && !c.atMostOnce {
			r.post(core.CallerGone{Request: c.id})
			a.answer.Close()
			return true
		}
		progress.observe(chunk)
		if chunk.End {
			break
		}
		var failure *upstream.Failure
		chunk, failure = a.answer.Next(ctx)
		if failure != nil {
			a.answer.Close()
			if failure.Kind == core.FailCancelled && ctx.Err() != nil {
				r.post(core.CallerGone{Request: c.id})
				return true
			}
			r.postFailure(c, number, failure, progress.tokens)
			return false
		}
	}
	c.markComplete(a)
	reply.finish()
	a.answer.Close()
	r.post(core.AttemptDone{
		Request: c.id, Attempt: number, Status: a.answer.Status, Cost: chunk.Cost,
		Answer: reply.encodeForReplay(), Leaving: a.answer.Leaving,
	})
	return true
}

// progressReporter reports the progress of one attempt's stream to the reducer.
type progressReporter struct {
	r              *Router
	c              *call
	attempt        core.Attempt
	tokens         uint64
	reportedTokens uint64
	reportedAt     time.Time
	lastChunkAt    time.Time
	maxGap         time.Duration
}

// observe counts a forwarded chunk and reports progress when it is due. Only streams
// of model services are reported.
func (p *progressReporter) observe(chunk upstream.Chunk) {
	if chunk.Tokens == 0 || p.c.service.Kind != config.Model {
		return
	}
	now := time.Now()
	if p.tokens > 0 {
		p.maxGap = max(p.maxGap, now.Sub(p.lastChunkAt))
	}
	p.lastChunkAt = now
	p.tokens += uint64(chunk.Tokens)
	if p.tokens-p.reportedTokens < progressTokens && now.Sub(p.reportedAt) < progressInterval {
		return
	}
	p.r.post(core.AttemptProgress{Request: p.c.id, Attempt: p.attempt, Tokens: p.tokens, Gap: p.maxGap})
	p.reportedTokens, p.reportedAt, p.maxGap = p.tokens, now, 0
}
