package claims

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// recordTimeout is how long an outcome is offered to a store that is down.
	// After that the claim counts as one that may have run.
	recordTimeout = 10 * time.Minute
	// releaseTimeout is the same for the removal of an unused claim, which
	// saves a question at the most.
	releaseTimeout = 10 * time.Second
	// maxAmendments bounds the writes under way; beyond it none is begun.
	maxAmendments = 1 << 14
	// maxHeldBytes bounds the answers that wait to be recorded; beyond it
	// outcomes are recorded without them.
	maxHeldBytes = 16 << 20
)

// amendment brings a claim's record to its last form. It changes no record
// that another nonce stands in.
type amendment struct {
	key   string
	nonce string
	// final is the record to write; nil removes it.
	final *record
	// index is the modify index to write at; 0 if it has to be read.
	index   uint64
	writing bool
	tries   int
	until   time.Time
	wake    time.Time
}

// amend begins an amendment, unless there are too many.
func (s *State) amend(now time.Time, a *amendment) {
	if s.amending >= maxAmendments {
		return
	}
	s.amending++
	if a.final != nil {
		s.recording[a.key] = a
		s.heldBytes += a.held()
	}
	if a.index != 0 {
		a.write(s)
		return
	}
	a.read(s)
}

// held is the size of the answer that waits.
func (a *amendment) held() int {
	if a.final == nil || a.final.Answer == nil {
		return 0
	}
	return len(*a.final.Answer)
}

// finish ends the amendment, done or not.
func (a *amendment) finish(s *State) {
	a.wake = time.Time{}
	s.amending--
	if a.final != nil {
		s.heldBytes -= a.held()
		delete(s.recording, a.key)
	}
}

func (a *amendment) read(s *State) {
	a.writing = false
	s.effect(core.KVGet{Op: s.call(a), Key: a.key})
}

func (a *amendment) write(s *State) {
	a.writing = true
	op := s.call(a)
	if a.final == nil {
		s.effect(core.KVDelete{Op: op, Key: a.key, Index: a.index})
		return
	}
	s.effect(core.KVCAS{Op: op, Key: a.key, Value: a.final.encode(), Index: a.index})
}

// result implements resultHandler.
func (a *amendment) result(s *State, now time.Time, r core.KVResult) {
	switch {
	case a.writing && r.Status == core.KVOK:
		a.finish(s)
	case a.writing && (r.Status == core.KVConflict || r.Status == core.KVNotFound):
		a.read(s)
	case !a.writing && r.Status == core.KVOK:
		a.examine(s, r)
	case !a.writing && r.Status == core.KVNotFound:
		a.restore(s)
	default:
		a.retry(s, now)
	}
}

// examine writes if the claim's own record still stands as it was.
func (a *amendment) examine(s *State, r core.KVResult) {
	rec, err := decode(r.Value)
	if err != nil || rec.Nonce != a.nonce || rec.State != stateClaimed {
		a.finish(s)
		return
	}
	a.index = r.Index
	a.write(s)
}

// restore writes an outcome whose claim has vanished from the store, so that
// the operation is not taken for a new one.
func (a *amendment) restore(s *State) {
	if a.final == nil {
		a.finish(s)
		return
	}
	a.index = 0
	a.write(s)
}

// retry reads again later, until the time is up.
func (a *amendment) retry(s *State, now time.Time) {
	if !now.Before(a.until) {
		a.finish(s)
		return
	}
	a.tries++
	a.wake = now.Add(backoff(a.tries))
	s.timers.add(a.wake, a)
}

// wakeAt implements resultHandler.
func (a *amendment) wakeAt() time.Time { return a.wake }

// timeout implements resultHandler.
func (a *amendment) timeout(s *State, now time.Time) {
	a.wake = time.Time{}
	a.read(s)
}
