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
	// slow is added to the time before a first token.
	slow time.Duration
	// leaving refuses new work and says so. The instance list is another matter:
	// it has State.
	leaving bool
	// word is when routers could first know that it is leaving.
	word time.Time
	// ran counts what was run, by request and by idempotency key.
	ran map[string]int
	// poison are the bodies that crash the upstream when it runs them, with how
	// often they did.
	poison map[[32]byte]int
}

func (u *fakeUpstream) alive(now time.Time) bool { return !now.Before(u.deadUntil) }

// leaves notes that routers can know from now on.
func (u *fakeUpstream) leaves(now time.Time) {
	if u.word.IsZero() {
		u.word = now
	}
}

// stay ends the leaving.
func (u *fakeUpstream) stay() {
	u.leaving, u.word, u.State = false, time.Time{}, core.UpstreamUp
}

// run is one request at an upstream.
type run struct {
	up      *fakeUpstream
	request core.RequestID
	attempt core.Attempt
	cost    uint64
	silent  time.Duration
	orphan  bool
	ended   bool
}

func (r *run) key() string { return fmt.Sprintf("%s/%d", r.request, r.attempt) }

// work is what a request costs: the hint, or 20.
func work(a core.Arrive) uint64 {
	if a.Hint > 0 {
		return a.Hint
	}
	return 20
}

func (f *fleet) send(n *node, e core.Send) {
	u := f.upstreams[e.Upstream]
	c := f.callers[e.Request]
	r := &run{up: u, request: e.Request, attempt: e.Attempt, cost: work(c.arrive), silent: e.SilentAfter}
	n.sends[r.key()] = r
	f.after(dialDelay, func() {
		if !u.alive(f.now) || !f.reaches(n, u) {
			f.fail(n, r, core.FailDial, false)
			return
		}
		if !e.Resume {
			f.offer(n, r, c.arrive)
		}
		if r.ended {
			return
		}
		if u.silent {
			f.after(r.silent, func() { f.fail(n, r, core.FailSilent, true) })
			return
		}
		f.after(firstDelay+u.slow, func() { f.first(n, r) })
	})
}

// offer brings new work to an upstream, which may refuse it.
func (f *fleet) offer(n *node, r *run, a core.Arrive) {
	u := r.up
	if !u.word.IsZero() && f.now.Sub(u.word) > leaveGrace {
		f.breaks("%s got new work %s after its word that it is leaving", u.ID, f.now.Sub(u.word))
	}
	if u.leaving {
		u.leaves(f.now)
		f.fail(n, r, core.FailRefused, false)
		return
	}
	u.ran[string(a.Request)]++
	if a.Once {
		u.ran["key/"+a.Key]++
	}
	if _, poison := u.poison[a.Body]; poison {
		u.poison[a.Body]++
		f.crash(u, time.Second)
		f.fail(n, r, core.FailReset, true)
	}
}

func (f *fleet) first(n *node, r *run) {
	switch {
	case r.ended:
	case !r.up.alive(f.now):
		f.fail(n, r, core.FailReset, true)
	case !f.reaches(n, r.up):
		f.after(r.silent, func() { f.fail(n, r, core.FailSilent, true) })
	default:
		f.deliver(n, core.AttemptFirst{Request: r.request, Attempt: r.attempt, Status: 200})
	}
}

// crash takes an upstream down for a while.
func (f *fleet) crash(u *fakeUpstream, d time.Duration) {
	u.deadUntil = f.now.Add(d)
	f.heals(d)
}

func (f *fleet) fail(n *node, r *run, kind core.Failure, sent bool) {
	if r.ended {
		return
	}
	r.ended = true
	if r.orphan {
		return
	}
	f.deliver(n, core.AttemptFailed{
		Request: r.request, Attempt: r.attempt, Failure: kind, Sent: sent, Leaving: r.up.leaving,
	})
}

func (f *fleet) cancelRun(n *node, id core.RequestID, a core.Attempt) {
	if r := n.sends[(&run{request: id, attempt: a}).key()]; r != nil {
		r.ended = true
	}
}

// commit forwards an answer until its end.
func (f *fleet) commit(n *node, e core.Commit) {
	r := n.sends[(&run{request: e.Request, attempt: e.Attempt}).key()]
	f.after(reportTime, func() { f.advance(n, r, f.callers[e.Request]) })
}

func (f *fleet) advance(n *node, r *run, c *caller) {
	if r.ended || r.orphan {
		return
	}
	if !r.up.alive(f.now) {
		f.fail(n, r, core.FailReset, true)
		return
	}
	if r.up.silent || !f.reaches(n, r.up) {
		f.after(r.silent, func() { f.fail(n, r, core.FailSilent, true) })
		return
	}
	step := min(r.cost-c.tokens, uint64(reportTime/tokenTime))
	c.tokens += step
	f.served[c.arrive.Organisation] += step
	if c.tokens < r.cost {
		f.deliver(n, core.AttemptProgress{Request: r.request, Attempt: r.attempt, Tokens: c.tokens})
		f.after(reportTime, func() { f.advance(n, r, c) })
		return
	}
	r.ended = true
	if r.up.leaving {
		r.up.leaves(f.now)
	}
	f.final(r.request, "answered", core.Complete, "")
	f.deliver(n, core.AttemptDone{
		Request: r.request, Attempt: r.attempt, Status: 200, Cost: r.cost, Answer: []byte("{}"),
		Leaving: r.up.leaving,
	})
}
