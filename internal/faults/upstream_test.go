package faults

import (
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// leaveGrace is the time in which an upstream may still get new work after routers
// can know that it is leaving.
const leaveGrace = 3 * time.Second

// fakeUpstream is an upstream that runs requests, tokenTime per unit of cost.
type fakeUpstream struct {
	core.Upstream
	deadUntil time.Time
	// silent makes the upstream accept requests without ever answering.
	silent bool
	// extraDelay is added to the time before the first token.
	extraDelay time.Duration
	// leaving makes the upstream refuse new work and report that it is leaving.
	// The instance list shows State instead.
	leaving bool
	// leavingSince is the time from which routers can know that the upstream is
	// leaving; zero if they can't.
	leavingSince time.Time
	// runCounts counts runs by request id and by idempotency key.
	runCounts map[string]int
	// poisonCrashes counts crashes by request body. It has an entry for each body
	// that crashes the upstream.
	poisonCrashes map[[32]byte]int
}

func (u *fakeUpstream) alive(now time.Time) bool { return !now.Before(u.deadUntil) }

// noteLeaving sets leavingSince unless it is set already.
func (u *fakeUpstream) noteLeaving(now time.Time) {
	if u.leavingSince.IsZero() {
		u.leavingSince = now
	}
}

// clearLeaving makes the upstream available again.
func (u *fakeUpstream) clearLeaving() {
	u.leaving, u.leavingSince, u.State = false, time.Time{}, core.UpstreamUp
}

// upstreamRun is one attempt of a request at an upstream.
type upstreamRun struct {
	upstream    *fakeUpstream
	request     core.RequestID
	attempt     core.Attempt
	cost        uint64
	silentAfter time.Duration
	// orphaned means that the router that sent the request has stopped.
	orphaned bool
	ended    bool
}

func (r *upstreamRun) key() string { return fmt.Sprintf("%s/%d", r.request, r.attempt) }

// costOf returns the cost of a request: its hint, or 20 if it has none.
func costOf(a core.RequestArrived) uint64 {
	if a.CostHint > 0 {
		return a.CostHint
	}
	return 20
}

// sendRequest starts an attempt of a request at an upstream.
func (f *fleet) sendRequest(n *node, e core.Send) {
	u := f.upstreams[e.Upstream]
	c := f.callers[e.Request]
	r := &upstreamRun{upstream: u, request: e.Request, attempt: e.Attempt, cost: costOf(c.request), silentAfter: e.SilentAfter}
	n.runs[r.key()] = r
	f.after(dialDelay, func() {
		if !u.alive(f.now) || !f.reaches(n, u) {
			f.failRun(n, r, core.FailDial, false)
			return
		}
		if !e.Resume {
			f.offer(n, r, c.request)
		}
		if r.ended {
			return
		}
		if u.silent {
			f.after(r.silentAfter, func() { f.failRun(n, r, core.FailIdle, true) })
			return
		}
		f.after(firstTokenDelay+u.extraDelay, func() { f.deliverFirst(n, r) })
	})
}

// offer gives new work to an upstream, which may refuse it or crash on it. Work
// that arrives later than leaveGrace after leavingSince is a violation.
func (f *fleet) offer(n *node, r *upstreamRun, a core.RequestArrived) {
	u := r.upstream
	if !u.leavingSince.IsZero() && f.now.Sub(u.leavingSince) > leaveGrace {
		f.recordViolation("%s got new work %s after routers could know that it is leaving", u.ID, f.now.Sub(u.leavingSince))
	}
	if u.leaving {
		u.noteLeaving(f.now)
		f.failRun(n, r, core.FailRefused, false)
		return
	}
	u.runCounts[string(a.Request)]++
	if a.AtMostOnce {
		u.runCounts["key/"+a.Key]++
	}
	if _, poison := u.poisonCrashes[a.Fingerprint]; poison {
		u.poisonCrashes[a.Fingerprint]++
		f.crashUpstream(u, time.Second)
		f.failRun(n, r, core.FailReset, true)
	}
}

// deliverFirst delivers the first byte of an answer, or the failure that prevents
// it.
func (f *fleet) deliverFirst(n *node, r *upstreamRun) {
	switch {
	case r.ended:
	case !r.upstream.alive(f.now):
		f.failRun(n, r, core.FailReset, true)
	case !f.reaches(n, r.upstream):
		f.after(r.silentAfter, func() { f.failRun(n, r, core.FailIdle, true) })
	default:
		f.deliver(n, core.AttemptFirstByte{Request: r.request, Attempt: r.attempt, Status: 200})
	}
}

// crashUpstream takes an upstream down for d.
func (f *fleet) crashUpstream(u *fakeUpstream, d time.Duration) {
	u.deadUntil = f.now.Add(d)
	f.faultLasts(d)
}

// failRun ends an attempt with a failure. sent means that the upstream may have
// received the request.
func (f *fleet) failRun(n *node, r *upstreamRun, kind core.Failure, sent bool) {
	if r.ended {
		return
	}
	r.ended = true
	if r.orphaned {
		return
	}
	f.deliver(n, core.AttemptFailed{
		Request: r.request, Attempt: r.attempt, Failure: kind, Sent: sent, Leaving: r.upstream.leaving,
	})
}

func (f *fleet) cancelRun(n *node, id core.RequestID, a core.Attempt) {
	if r := n.runs[(&upstreamRun{request: id, attempt: a}).key()]; r != nil {
		r.ended = true
	}
}

// startAnswer starts forwarding an answer to the caller.
func (f *fleet) startAnswer(n *node, e core.Commit) {
	r := n.runs[(&upstreamRun{request: e.Request, attempt: e.Attempt}).key()]
	f.after(progressInterval, func() { f.advanceAnswer(n, r, f.callers[e.Request]) })
}

// advanceAnswer delivers the tokens of one progressInterval and schedules the next
// ones, or ends the answer after its last token or on a failure.
func (f *fleet) advanceAnswer(n *node, r *upstreamRun, c *caller) {
	if r.ended || r.orphaned {
		return
	}
	if !r.upstream.alive(f.now) {
		f.failRun(n, r, core.FailReset, true)
		return
	}
	if r.upstream.silent || !f.reaches(n, r.upstream) {
		f.after(r.silentAfter, func() { f.failRun(n, r, core.FailIdle, true) })
		return
	}
	step := min(r.cost-c.tokens, uint64(progressInterval/tokenTime))
	c.tokens += step
	f.served[c.request.Organisation] += step
	if c.tokens < r.cost {
		f.deliver(n, core.AttemptProgress{Request: r.request, Attempt: r.attempt, Tokens: c.tokens})
		f.after(progressInterval, func() { f.advanceAnswer(n, r, c) })
		return
	}
	r.ended = true
	if r.upstream.leaving {
		r.upstream.noteLeaving(f.now)
	}
	f.recordFinal(r.request, "answered", core.Complete, "")
	f.deliver(n, core.AttemptDone{
		Request: r.request, Attempt: r.attempt, Status: 200, Cost: r.cost, Answer: []byte("{}"),
		Leaving: r.upstream.leaving,
	})
}
