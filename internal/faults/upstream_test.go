package faults

import (
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// leaveGrace is how long after its word a leaving upstream may still get work.
const leaveGrace = 3 * time.Second

// fakeUpstream runs requests; cost is in units of tokenTime.
type fakeUpstream struct {
	core.Upstream
	deadUntil time.Time
	silent    bool
	// extraDelay is added to the time before a first token.
	extraDelay time.Duration
	// leaving refuses new work and says so. The instance list is another matter:
	// it has State.
	leaving bool
	// leavingSince is when routers could first know that it is leaving.
	leavingSince time.Time
	// runCounts counts what was run, by request and by idempotency key.
	runCounts map[string]int
	// poisonCrashes are the bodies that crash the upstream when it runs them, with how
	// often they did.
	poisonCrashes map[[32]byte]int
}

func (u *fakeUpstream) alive(now time.Time) bool { return !now.Before(u.deadUntil) }

// noteLeaving notes that routers can know from now on.
func (u *fakeUpstream) noteLeaving(now time.Time) {
	if u.leavingSince.IsZero() {
		u.leavingSince = now
	}
}

// clearLeaving ends the leaving.
func (u *fakeUpstream) clearLeaving() {
	u.leaving, u.leavingSince, u.State = false, time.Time{}, core.UpstreamUp
}

// upstreamRun is one request at an upstream.
type upstreamRun struct {
	upstream    *fakeUpstream
	request     core.RequestID
	attempt     core.Attempt
	cost        uint64
	silentAfter time.Duration
	orphaned    bool
	ended       bool
}

func (r *upstreamRun) key() string { return fmt.Sprintf("%s/%d", r.request, r.attempt) }

// costOf is what a request costs: the hint, or 20.
func costOf(a core.Arrive) uint64 {
	if a.Hint > 0 {
		return a.Hint
	}
	return 20
}

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
			f.after(r.silentAfter, func() { f.failRun(n, r, core.FailSilent, true) })
			return
		}
		f.after(firstTokenDelay+u.extraDelay, func() { f.deliverFirst(n, r) })
	})
}

// offer brings new work to an upstream, which may refuse it.
func (f *fleet) offer(n *node, r *upstreamRun, a core.Arrive) {
	u := r.upstream
	if !u.leavingSince.IsZero() && f.now.Sub(u.leavingSince) > leaveGrace {
		f.recordViolation("%s got new work %s after its word that it is leaving", u.ID, f.now.Sub(u.leavingSince))
	}
	if u.leaving {
		u.noteLeaving(f.now)
		f.failRun(n, r, core.FailRefused, false)
		return
	}
	u.runCounts[string(a.Request)]++
	if a.Once {
		u.runCounts["key/"+a.Key]++
	}
	if _, poison := u.poisonCrashes[a.Body]; poison {
		u.poisonCrashes[a.Body]++
		f.crashUpstream(u, time.Second)
		f.failRun(n, r, core.FailReset, true)
	}
}

func (f *fleet) deliverFirst(n *node, r *upstreamRun) {
	switch {
	case r.ended:
	case !r.upstream.alive(f.now):
		f.failRun(n, r, core.FailReset, true)
	case !f.reaches(n, r.upstream):
		f.after(r.silentAfter, func() { f.failRun(n, r, core.FailSilent, true) })
	default:
		f.deliver(n, core.AttemptFirst{Request: r.request, Attempt: r.attempt, Status: 200})
	}
}

// crashUpstream takes an upstream down for a while.
func (f *fleet) crashUpstream(u *fakeUpstream, d time.Duration) {
	u.deadUntil = f.now.Add(d)
	f.faultLasts(d)
}

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

// startAnswer forwards an answer until its end.
func (f *fleet) startAnswer(n *node, e core.Commit) {
	r := n.runs[(&upstreamRun{request: e.Request, attempt: e.Attempt}).key()]
	f.after(progressInterval, func() { f.advanceAnswer(n, r, f.callers[e.Request]) })
}

func (f *fleet) advanceAnswer(n *node, r *upstreamRun, c *caller) {
	if r.ended || r.orphaned {
		return
	}
	if !r.upstream.alive(f.now) {
		f.failRun(n, r, core.FailReset, true)
		return
	}
	if r.upstream.silent || !f.reaches(n, r.upstream) {
		f.after(r.silentAfter, func() { f.failRun(n, r, core.FailSilent, true) })
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
