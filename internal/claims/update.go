package claims

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// recordTimeout is how long the write of an outcome is retried while the
	// store is down. After that the outcome is dropped and the operation counts
	// as one that may have run.
	recordTimeout = 10 * time.Minute
	// releaseTimeout is how long the removal of an unused record is retried. The
	// removal only spares other routers a query to the record's holder.
	releaseTimeout = 10 * time.Second
	// maxRecordUpdates bounds the record updates in progress; beyond it, further
	// updates are dropped.
	maxRecordUpdates = 1 << 14
	// maxPendingAnswerBytes bounds the total size of the answers that wait to be
	// recorded; beyond it, outcomes are recorded without their answers.
	maxPendingAnswerBytes = 16 << 20
)

// recordUpdate writes the outcome of an ended claim to its record, or removes
// the record, and retries until its deadline. It never changes a record that
// holds another nonce.
type recordUpdate struct {
	key   string
	nonce string
	// final is the record to write; nil removes the record.
	final *record
	// index is the modify index that the record must have for the write; 0 if it
	// has to be read first.
	index uint64
	// writing reports whether the latest key-value call is a write.
	writing     bool
	failedCalls int
	deadline    time.Time
	// wake is when handleTimeout is due; zero if it is not.
	wake time.Time
}

// startUpdate starts a record update, or drops it if too many are in progress.
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

// answerSize returns the size in bytes of the answer to be recorded, 0 if there
// is none.
func (u *recordUpdate) answerSize() int {
	if u.final == nil || u.final.Answer == nil {
		return 0
	}
	return len(*u.final.Answer)
}

// finish ends the update, whether or not the record was written.
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

// checkRecord writes if the record that was read still holds the claim's nonce
// and no outcome, and ends the update otherwise.
func (u *recordUpdate) checkRecord(s *State, r core.KVResult) {
	rec, err := decodeRecord(r.Value)
	if err != nil || rec.Nonce != u.nonce || rec.State != stateClaimed {
		u.finish(s)
		return
	}
	u.index = r.Index
	u.writeRecord(s)
}

// restoreRecord creates the record anew if it is missing from the store and
// there is an outcome to write, so that the operation is not run again as a new
// one.
func (u *recordUpdate) restoreRecord(s *State) {
	if u.final == nil {
		u.finish(s)
		return
	}
	u.index = 0
	u.writeRecord(s)
}

// retry reads the record again after a backoff, or ends the update if its
// deadline has passed.
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
