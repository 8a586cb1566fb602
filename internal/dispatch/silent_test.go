package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// countAborts returns the number of aborted attempts.
func (f *fixture) countAborts() (n int) {
	for _, e := range f.all {
		if _, ok := e.(Abort); ok {
			n++
		}
	}
	return n
}

// A silent attempt continues if the retry budget is exhausted: aborting it without a retry
// would replace a late answer by none.
func TestSilentAttemptContinuesWithoutRetryBudget(t *testing.T) {
	f := newFixture(t, 4)
	f.health.SetRetryBudget(0, 2)
	for range 5 {
		f.lastSend(f.arrive(chat, model, 600))
	}
	f.advance(2 * time.Second)
	f.g.Expect(f.countAborts()).To(Equal(2))
}

// An aborted attempt is retried with the retry that was charged for it.
func TestAbortedAttemptUsesChargedRetry(t *testing.T) {
	f := newFixture(t, 4)
	f.health.SetRetryBudget(0, 1)
	id := f.arrive(chat, model, 600)
	first := f.lastSend(id)
	f.advance(time.Second)
	f.g.Expect(f.countAborts()).To(Equal(1))
	f.step(Failed{ID: id, Attempt: first.Attempt, Kind: 0, MayHaveRun: true})
	f.g.Expect(f.lastSend(id).Attempt).To(Equal(2))
}

// An attempt whose answer is partly received is not aborted, and its silence timeout
// starts again.
func TestDeclinedAbortRestartsSilenceTimeout(t *testing.T) {
	f := newFixture(t, 4)
	id := f.arrive(chat, model, 600)
	attempt := f.lastSend(id).Attempt
	for f.countAborts() == 0 {
		f.advance(tickBusy)
	}
	f.step(AbortDeclined{id, attempt})
	f.advance(400 * time.Millisecond)
	f.g.Expect(f.countAborts()).To(Equal(1))
	f.advance(200 * time.Millisecond)
	f.g.Expect(f.countAborts()).To(Equal(2))
}
