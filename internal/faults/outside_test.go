package faults

import (
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// fakeUpstream runs requests; cost is in units of tokenTime.
type fakeUpstream struct {
	core.Upstream
	deadUntil time.Time
	silent    bool
	// ran counts what was run, by request and by idempotency key.
	ran map[string]int
	// poison crashes the upstream when it runs such a body.
	poison [32]byte
	crash  int
	// lastStart is when work was last started.
	lastStart time.Time
	running   int
}

func (u *fakeUpstream) alive(now time.Time) bool { return !now.Before(u.deadUntil) }

// run is one request at an upstream.
type run struct {
	up      *fakeUpstream
	request core.RequestID
	attempt core.Attempt
	started time.Time
	cost    uint64
	orphan  bool
	ended   bool
	forward bool
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
	r := &run{up: u, request: e.Request, attempt: e.Attempt, cost: work(c.arrive)}
	n.sends[r.key()] = r
	f.after(dialDelay, func() {
		if !u.alive(f.now) {
			f.fail(n, r, core.FailDial, false)
			return
		}
		if !e.Resume {
			f.startRun(n, r, c.arrive)
		}
		if r.ended {
			return
		}
		if u.silent {
			f.after(e.SilentAfter, func() { f.fail(n, r, core.FailSilent, true) })
			return
		}
		r.started = f.now
		f.after(firstDelay, func() {
			if r.ended {
				return
			}
			if !u.alive(f.now) {
				f.fail(n, r, core.FailReset, true)
				return
			}
			f.deliver(n, core.AttemptFirst{Request: r.request, Attempt: r.attempt, Status: 200})
		})
	})
}

func (f *fleet) startRun(n *node, r *run, a core.Arrive) {
	u := r.up
	u.lastStart = f.now
	u.running++
	u.ran[string(a.Request)]++
	if a.Once {
		u.ran["key/"+a.Key]++
	}
	if u.poison != [32]byte{} && a.Body == u.poison {
		f.crash(u, time.Second)
		f.fail(n, r, core.FailReset, true)
	}
}

// crash takes an upstream down for a while.
func (f *fleet) crash(u *fakeUpstream, d time.Duration) {
	u.crash++
	u.deadUntil = f.now.Add(d)
}

func (f *fleet) fail(n *node, r *run, kind core.Failure, sent bool) {
	if r.ended {
		return
	}
	f.endRun(r)
	if r.orphan {
		return
	}
	f.deliver(n, core.AttemptFailed{Request: r.request, Attempt: r.attempt, Failure: kind, Sent: sent})
}

func (f *fleet) endRun(r *run) {
	r.ended = true
	if r.up.running > 0 {
		r.up.running--
	}
}

func (f *fleet) cancelRun(n *node, id core.RequestID, a core.Attempt) {
	if r := n.sends[(&run{request: id, attempt: a}).key()]; r != nil && !r.ended {
		f.endRun(r)
	}
}

// commit forwards an answer until its end.
func (f *fleet) commit(n *node, e core.Commit) {
	r := n.sends[(&run{request: e.Request, attempt: e.Attempt}).key()]
	c := f.callers[e.Request]
	c.committed = e.Attempt
	r.forward = true
	f.after(reportTime, func() { f.advance(n, r, c) })
}

func (f *fleet) advance(n *node, r *run, c *caller) {
	if r.ended || r.orphan {
		return
	}
	if !r.up.alive(f.now) {
		f.fail(n, r, core.FailReset, true)
		return
	}
	if r.up.silent {
		f.after(time.Second, func() { f.fail(n, r, core.FailSilent, true) })
		return
	}
	step := min(r.cost-c.tokens, uint64(reportTime/tokenTime))
	c.tokens += step
	f.served[c.arrive.Organisation] += step
	if c.tokens == r.cost {
		f.endRun(r)
		f.final(r.request, "answered", core.Complete, "")
		f.deliver(n, core.AttemptDone{
			Request: r.request, Attempt: r.attempt, Status: 200, Cost: r.cost, Answer: []byte("{}"),
		})
		return
	}
	f.deliver(n, core.AttemptProgress{Request: r.request, Attempt: r.attempt, Tokens: c.tokens})
	f.after(reportTime, func() { f.advance(n, r, c) })
}

// fakeStore is the key-value service with its faults.
type fakeStore struct {
	fleet   *fleet
	entries map[string]fakeEntry
	index   uint64
	calls   int
	// down carries nothing out; loseAnswers carries writes out without an
	// answer; lateBy carries them out later, without an answer.
	down        bool
	loseAnswers bool
	lateBy      time.Duration
}

type fakeEntry struct {
	value []byte
	index uint64
}

func (s *fakeStore) call(n *node, e core.Effect) {
	s.calls++
	f := s.fleet
	f.after(storeDelay, func() {
		if s.down {
			f.later(n, storeDelay, core.KVResult{Op: opOf(e), Status: core.KVUnavailable})
			return
		}
		_, read := e.(core.KVGet)
		switch {
		case !read && s.lateBy > 0:
			f.after(s.lateBy, func() { s.apply(e) })
			f.later(n, time.Second, core.KVResult{Op: opOf(e), Status: core.KVUnknown})
		case !read && s.loseAnswers:
			s.apply(e)
			f.later(n, time.Second, core.KVResult{Op: opOf(e), Status: core.KVUnknown})
		default:
			f.later(n, storeDelay, s.apply(e))
		}
	})
}

func opOf(e core.Effect) core.OpID {
	switch e := e.(type) {
	case core.KVGet:
		return e.Op
	case core.KVCAS:
		return e.Op
	case core.KVDelete:
		return e.Op
	}
	return 0
}

func (s *fakeStore) apply(e core.Effect) core.KVResult {
	switch e := e.(type) {
	case core.KVGet:
		have, ok := s.entries[e.Key]
		if !ok {
			return core.KVResult{Op: e.Op, Key: e.Key, Status: core.KVNotFound}
		}
		return core.KVResult{Op: e.Op, Key: e.Key, Status: core.KVOK, Value: have.value, Index: have.index}
	case core.KVCAS:
		if s.entries[e.Key].index != e.Index {
			return core.KVResult{Op: e.Op, Key: e.Key, Status: core.KVConflict}
		}
		s.index++
		s.entries[e.Key] = fakeEntry{e.Value, s.index}
		return core.KVResult{Op: e.Op, Key: e.Key, Status: core.KVOK, Index: s.index}
	case core.KVDelete:
		if s.entries[e.Key].index != e.Index {
			return core.KVResult{Op: e.Op, Key: e.Key, Status: core.KVConflict}
		}
		s.index++
		delete(s.entries, e.Key)
		return core.KVResult{Op: e.Op, Key: e.Key, Status: core.KVOK}
	}
	panic("not a key-value effect")
}
