package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/exchange"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// executeEffects carries out the dispatcher's effects for one call until its final
// answer.
func (g *Gateway) executeEffects(w http.ResponseWriter, r *http.Request, c *call) {
	// A caller that disconnects ends the call at once, whatever the call waits for.
	stop := context.AfterFunc(r.Context(), func() {
		g.step(dispatch.CallerLeft{ID: c.key})
		c.abort(true)
	})
	defer stop()
	for {
		select {
		case <-r.Context().Done():
			g.endLeft(c)
			return
		case e := <-c.effects:
			switch e := e.(type) {
			case dispatch.Send:
				if callerDisconnected(r) {
					g.step(dispatch.CallerLeft{ID: c.key})
					g.endLeft(c)
					return
				}
				if g.attempt(w, c, e) {
					return
				}
			case dispatch.Refuse:
				status := refusalStatus(e.Reason)
				g.logEnd(c, "refused", string(e.Reason), status, "retryAfter", e.RetryAfter, "size", e.Size, "share", e.Share)
				g.metrics.recordRetryAfter(string(e.Reason), e.RetryAfter)
				writeStatus(w, status, e.RetryAfter)
				return
			case dispatch.Fail:
				g.fail(w, c, e)
				return
			}
		}
	}
}

// endLeft ends a call whose caller has left. Its sending side may be all that it has closed.
func (g *Gateway) endLeft(c *call) {
	g.logEnd(c, "left", "", 0)
	if c.wroteHeader {
		c.cutOff()
	}
}

// cutOff ends an answer whose beginning has been written. Closing the connection is the only
// way to signal that it is incomplete; a handler that returns completes it.
func (c *call) cutOff() {
	c.conn.abort()
	panic(http.ErrAbortHandler)
}

// refusalStatus returns the status of a refusal: 429 tells an organisation that it asks
// for more than its share, 503 that the service has no room.
func refusalStatus(reason dispatch.Reason) int {
	if reason == dispatch.ReasonOverShare {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// promisesNotRun reports whether callers take a status for the promise that their request has
// not run and never will, so that they repeat work that must run at most once.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayForward reports whether an upstream's error answer may be forwarded to the caller. One
// whose status promises that the request has not run may not, if the request must run at most
// once: the upstream has not said so itself.
func (f *upstreamFailure) mayForward(kind routing.Kind) bool {
	return f != nil && (kind.Repeatable() || !promisesNotRun(f.status))
}

// fail writes the final answer of a request that may have run.
func (g *Gateway) fail(w http.ResponseWriter, c *call, e dispatch.Fail) {
	status := http.StatusBadGateway
	if e.Timeout {
		status = http.StatusGatewayTimeout
	}
	if c.wroteHeader {
		g.logEnd(c, "broken-off", string(e.Reason), 0)
		c.cutOff()
	}
	if c.lastFailure.mayForward(c.request.Route.Kind) && !e.Timeout {
		g.logEnd(c, "failed", string(e.Reason), c.lastFailure.status)
		copyHeader(w.Header(), c.lastFailure.header)
		w.Header().Set("Content-Length", strconv.Itoa(len(c.lastFailure.body)))
		w.WriteHeader(c.lastFailure.status)
		if _, err := w.Write(c.lastFailure.body); err != nil {
			logs.Info("caller-write", "Gateway: writing the answer to the caller failed.", "id", c.caller.ID, "err", err)
		}
		return
	}
	var pairs []any
	if c.lastFailure != nil {
		pairs = []any{"upstreamStatus", c.lastFailure.status}
	}
	g.logEnd(c, "failed", string(e.Reason), status, pairs...)
	writeStatus(w, status, 0)
}

// attempt sends the request to an upstream and forwards its answer. It reports whether
// the call has ended.
func (g *Gateway) attempt(w http.ResponseWriter, c *call, e dispatch.Send) (ended bool) {
	remaining := time.Until(e.ExpiresAt)
	c.upstream = e.Upstream.ID
	logs.Info("sent", "Gateway: request sent.", "id", c.caller.ID, "org", c.request.Organisation,
		"route", c.request.Route.Name, "attempt", e.Attempt, "upstream", e.Upstream.ID, "addr", e.Upstream.Addr,
		"waited", e.Waited, "predicted", e.Predicted, "backlog", e.Backlog, "cached", e.Cached, "size", e.Size, "share", e.Share, "fetchFrom", e.FetchFrom,
		"resumeAfter", e.ResumeAfter, "continue", e.ContinueFrom, "left", remaining, "config", g.configVersion())
	g.metrics.recordAttempt(c.request.Route.Kind.String(), e)
	withheld := false
	x := g.client.Begin(&exchange.Request{
		Addr: e.Upstream.Addr, Method: c.method, Target: c.target, Host: c.host, Body: c.body,
		Header: g.options.Protocol.Forward(c.header, Forwarding{
			Organisation: c.request.Organisation, Instance: e.Upstream.ID, Timeout: remaining,
			FetchFrom: e.FetchFrom, ResumeAfter: e.ResumeAfter, ContinueFrom: e.ContinueFrom,
		}),
		Repeatable: c.request.Route.Kind.Repeatable(),
		MaySend: func() bool {
			withheld = !g.mayReach(c, e)
			return !withheld && g.maySend(e.Upstream)
		},
		OwnsResponse: func(status int, h http.Header) exchange.Ownership {
			return g.options.Protocol.Ownership(status, h, c.caller.ID)
		},
		Deadline: e.ExpiresAt,
	})
	if !c.setExchange(x) {
		x.Abort()
		return false
	}
	defer c.setExchange(nil)
	sentAt := time.Now()
	a, failure := x.Run()
	if failure == nil {
		failure = g.forwardAnswer(w, c, e, a, sentAt)
	}
	moved := handoverResult{notStopped: true}
	if failure != nil || c.request.Route.Kind.Streaming() {
		moved = c.awaitHandover()
	}
	if failure == nil && moved.notStopped {
		if pause := c.pace.meanPause(); pause > 0 {
			g.step(dispatch.PauseMeasured{ID: c.key, Attempt: e.Attempt, Pause: pause})
		}
		if !c.reportedDone {
			g.step(dispatch.Done{ID: c.key, Attempt: e.Attempt})
		}
		g.logEnd(c, "complete", "", a.Status)
		return true
	}
	if failure == nil {
		// Its upstream may have closed the stream since this router stopped it.
		failure = &exchange.Failure{Kind: core.FailTruncated, Sent: true, Err: errStopped}
	}
	resumeAfter, resumable := c.position.ResumeAfter()
	if moved.handle != "" && resumable {
		g.step(dispatch.Moved{
			ID: c.key, Attempt: e.Attempt, Handle: moved.handle, AtSource: !moved.copied, LastEventID: resumeAfter,
		})
		return false
	}
	if moved.handle != "" {
		go g.freeCopy(e.Upstream.Addr, moved.handle)
	}
	logs.Info("attempt-failed", "Gateway: attempt failed.", "id", c.caller.ID, "attempt", e.Attempt,
		"upstream", e.Upstream.ID, "fingerprint", c.request.Fingerprint, "parts", partIDs(c.request.Prompt), "kind", failure.Kind, "mayHaveRun", failure.Sent, "after", time.Since(sentAt),
		"position", c.position, "err", failure.Err)
	g.step(dispatch.Failed{
		ID: c.key, Attempt: e.Attempt, Kind: failure.Kind, MayHaveRun: failure.Sent,
		Replaced: failure.Replaced, Unreachable: failure.Unreachable(), Local: failure.OutOfResources(), Withheld: withheld,
		ResponseStarted: c.wroteHeader, LastEventID: resumeAfter,
	})
	return false
}

// maySend reports whether a request that was placed at an upstream may still be sent there.
func (g *Gateway) maySend(upstream dispatch.Instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.MaySend(time.Now(), upstream)
}

// forwardAnswer forwards an upstream's answer to the caller, or returns the failure
// that the answer means.
func (g *Gateway) forwardAnswer(w http.ResponseWriter, c *call, e dispatch.Send, a *exchange.Response, sentAt time.Time) *exchange.Failure {
	defer a.Close()
	info := g.options.Protocol.Answer(a.Status, a.Header, e.Upstream.ID)
	g.reportAdvice(c, e, info)
	switch {
	case info.NotRun:
		return notRunFailure(a, info)
	case a.Status >= http.StatusMultipleChoices || !info.Sealed:
		return g.keepFailure(c, e, a, info)
	case c.wroteHeader && !c.continuedBy(a):
		return &exchange.Failure{Kind: core.FailStatus, Sent: true, Err: errNotContinued}
	case c.request.Route.Kind.Streaming():
		return g.forwardStream(w, c, e, a, sentAt)
	default:
		return g.forwardWhole(w, c, e, a, sentAt)
	}
}

// reportAdvice tells the dispatcher what an upstream says about itself in an answer's
// header: that it is leaving, wants no requests for some time, or only so many a second.
func (g *Gateway) reportAdvice(c *call, e dispatch.Send, info AnswerInfo) {
	avoid := info.Leaving || info.HoldOff > 0
	if info.Replaced || !avoid && info.Limit == 0 && !info.LimitUnknown && !e.Limited && info.Cold == 0 && !info.ColdUnknown {
		return
	}
	upstream := e.Upstream
	if avoid {
		logs.Info("advised", "Gateway: upstream asked for no more requests.", "id", c.caller.ID, "upstream", upstream.ID, "addr", upstream.Addr,
			"started", upstream.Started, "leaving", info.Leaving, "holdOff", info.HoldOff)
	}
	if info.LimitUnknown {
		logs.Info("limit-unreadable", "Gateway: upstream's limit is not a number, the one before holds.", "id", c.caller.ID, "upstream", upstream.ID)
	}
	if info.ColdUnknown {
		g.metrics.recordUnreadable(unreadableAnswer)
		logs.Info("cold-unreadable", "Gateway: upstream's temperature is not a time, ignored.", "id", c.caller.ID, "upstream", upstream.ID)
	}
	g.step(dispatch.InstanceReported{
		Instance: upstream, Leaving: info.Leaving, HoldOff: info.HoldOff, Limit: info.Limit, LimitUnknown: info.LimitUnknown, Cold: info.Cold,
	})
}

// notRunFailure is the failure of an attempt that the upstream did not run.
func notRunFailure(a *exchange.Response, info AnswerInfo) *exchange.Failure {
	if err := a.Discard(); err != nil {
		logs.Info("refusal-body", "Gateway: reading the body of an upstream's refusal failed.", "err", err)
	}
	return &exchange.Failure{Kind: core.FailRefused, Replaced: info.Replaced, Err: errNotRun}
}

// keepFailure keeps an upstream's error answer, to be forwarded if no other attempt
// succeeds.
func (g *Gateway) keepFailure(c *call, e dispatch.Send, a *exchange.Response, info AnswerInfo) *exchange.Failure {
	body, failure := a.ReadAll(answerBytes)
	if failure != nil {
		return failure
	}
	g.step(dispatch.ErrorReceived{ID: c.key, Attempt: e.Attempt})
	if a.Status >= http.StatusMultipleChoices {
		c.lastFailure = &upstreamFailure{status: a.Status, header: a.Header, body: body.Bytes()}
	}
	return &exchange.Failure{Kind: core.FailStatus, Sent: true, Err: statusError(a.Status)}
}

// forwardWhole forwards a non-streaming answer once it is complete.
func (g *Gateway) forwardWhole(w http.ResponseWriter, c *call, e dispatch.Send, a *exchange.Response, sentAt time.Time) *exchange.Failure {
	body, failure := a.ReadAll(answerBytes)
	if failure != nil {
		return failure
	}
	g.step(dispatch.FirstByteReceived{ID: c.key, Attempt: e.Attempt})
	g.metrics.recordFirstByte(c.request.Route.Kind.String(), time.Since(sentAt))
	copyHeader(w.Header(), a.Header)
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	c.wroteHeader = true
	c.recordChunk(time.Now())
	// The upstream is done, however slowly the caller reads.
	c.reportedDone = true
	g.step(dispatch.Done{ID: c.key, Attempt: e.Attempt})
	w.WriteHeader(a.Status)
	for _, part := range body {
		if _, err := w.Write(part); err != nil {
			logs.Info("caller-write", "Gateway: writing the answer to the caller failed.", "id", c.caller.ID, "err", err)
			break
		}
	}
	return nil
}

// logEnd records and logs the end of a request.
func (g *Gateway) logEnd(c *call, outcome, reason string, status int, pairs ...any) {
	took := time.Since(c.started)
	g.metrics.recordRequest(c.request.Route.Kind.String(), outcome, reason, took)
	if c.maxGap > 0 {
		g.metrics.recordMaxGap(c.request.Route.Kind.String(), c.maxGap)
	}
	pairs = append([]any{
		"id", c.caller.ID, "org", c.request.Organisation, "route", c.request.Route.Name, "outcome", outcome,
		"reason", reason, "status", status, "upstream", c.upstream, "took", took, "first", c.timeToFirstChunk(), "maxGap", c.maxGap,
	}, pairs...)
	if c.offloadedFrom != "" {
		pairs = append(pairs, "offloadedFrom", c.offloadedFrom)
	}
	logs.Info("ended-"+outcome, "Gateway: request ended.", pairs...)
}
