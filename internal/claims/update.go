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
	// maxRecordUpdates bounds the writes under way; beyond it none is begun.
	maxRecordUpdates = 1 << 14
	// maxPendingAnswerBytes bounds the answers that wait to be recorded; beyond it
	// outcomes are recorded without them.
	maxPendingAnswerBytes = 16 << 20
)

// recordUpdate brings a claim's record to its last form. It changes no record
// that another nonce stands in.
type recordUpdate struct {
	key   string
	nonce string
	// final is the record to write; nil removes it.
	final *record
	// index is the modify index to write at; 0 if it has to be read.
	index       uint64
	writing     bool
	failedCalls int
	deadline    time.Time
	wake        time.Time
}

// startUpdate begins an amendment, unless there are too many.
func (s *State) startUpdate(now time.Time, u *recordUpdate) {
	if s.activeUpdates >= maxRecordUpdates {
		return
	}
	s.activeUpdates++
	if u.final != nil {
		s.pendingOutcomes[u.key] = u
		s.pendingAnswerBytes += u.answerSize()
	}
	if u.index != 0 {
		u.writeRecord(s)
		return
	}
	u.readRecord(s)
}

// answerSize is the size of the answer that waits.
func (u *recordUpdate) answerSize() int {
	if u.final == nil || u.final.Answer == nil {
		return 0
	}
	return len(*u.final.Answer)
}

// finish ends the amendment, done or not.
func (u *recordUpdate) finish(s *State) {
	u.wake = time.Time{}
	s.activeUpdates--
	if u.final != nil {
		s.pendingAnswerBytes -= u.answerSize()
		delete(s.pendingOutcomes, u.key)
	}
}

func (u *recordUpdate) readRecord(s *State) {
	u.writing = false
	s.emit(core.KVGet{Op: s.newOp(u), Key: u.key})
}

func (u *recordUpdate) writeRecord(s *State) {
	u.writing = true
	op := s.newOp(u)
	if u.final == nil {
		s.emit(core.KVDelete{Op: op, Key: u.key, Index: u.index})
		return
	}
	s.emit(core.KVCAS{Op: op, Key: u.key, Value: u.final.encode(), Index: u.index})
}

// handleResult implements resultHandler.
func (u *recordUpdate) handleResult(s *State, now time.Time, r core.KVResult) {
	switch {
	case u.writing && r.Status == core.KVOK:
		u.finish(s)
	case u.writing && (r.Status == core.KVConflict || r.Status == core.KVNotFound):
		u.readRecord(s)
	case !u.writing && r.Status == core.KVOK:
		u.checkRecord(s, r)
	case !u.writing && r.Status == core.KVNotFound:
		u.restoreRecord(s)
	default:
		u.retry(s, now)
	}
}

// checkRecord writes if the claim's own record still stands as it was.
func (u *recordUpdate) checkRecord(s *State, r core.KVResult) {
	rec, err := decodeRecord(r.Value)
	if err != nil || rec.Nonce != u.nonce || rec.State != stateClaimed {
		u.finish(s)
		return
	}
	u.index = r.Index
	u.writeRecord(s)
}

// restoreRecord writes an outcome whose claim has vanished from the store, so that
// the operation is not taken for a new one.
func (u *recordUpdate) restoreRecord(s *State) {
	if u.final == nil {
		u.finish(s)
		return
	}
	u.index = 0
	u.writeRecord(s)
}

// retry reads again later, until the time is up.
func (u *recordUpdate) retry(s *State, now time.Time) {
	if !now.Before(u.deadline) {
		u.finish(s)
		return
	}
	u.failedCalls++
	u.wake = now.Add(backoff(u.failedCalls))
	s.timers.add(u.wake, u)
}

// wakeAt implements resultHandler.
func (u *recordUpdate) wakeAt() time.Time { return u.wake }

// handleTimeout implements resultHandler.
func (u *recordUpdate) handleTimeout(s *State, now time.Time) {
	u.wake = time.Time{}
	u.readRecord(s)
}
