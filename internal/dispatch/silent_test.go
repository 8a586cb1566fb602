package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// countAborts counts the attempts that were broken off.
func (w *fixture) countAborts() (n int) {
	for _, e := range w.all {
		if _, ok := e.(Abort); ok {
			n++
		}
	}
	return n
}

// TestSilentAttemptIsKeptWithoutBudget: breaking off an attempt that cannot be
// repeated turns a late answer into none.
func TestSilentAttemptContinuesWithoutRetryBudget(t *testing.T) {
	w := newFixture(t, 4)
	w.health.SetRetryBudget(0, 2)
	for range 5 {
		w.lastSend(w.arrive(chat, model, 600))
	}
	w.advance(2 * time.Second)
	w.g.Expect(w.countAborts()).To(Equal(2))
}

// TestAbortedAttemptUsesChargedRetry with the retry that was charged for it.
func TestAbortedAttemptUsesChargedRetry(t *testing.T) {
	w := newFixture(t, 4)
	w.health.SetRetryBudget(0, 1)
	id := w.arrive(chat, model, 600)
	first := w.lastSend(id)
	w.advance(time.Second)
	w.g.Expect(w.countAborts()).To(Equal(1))
	w.step(Failed{ID: id, Attempt: first.Attempt, Kind: 0, Ran: true})
	w.g.Expect(w.lastSend(id).Attempt).To(Equal(2))
}

// TestHeardAttemptGoesOn: part of the answer waits to be read, so it is not broken
// off, and it counts as silent again only after as long as before.
func TestDeclinedAbortRestartsSilenceTimeout(t *testing.T) {
	w := newFixture(t, 4)
	id := w.arrive(chat, model, 600)
	attempt := w.lastSend(id).Attempt
	for w.countAborts() == 0 {
		w.advance(tickBusy)
	}
	w.step(Heard{id, attempt})
	w.advance(400 * time.Millisecond)
	w.g.Expect(w.countAborts()).To(Equal(1))
	w.advance(200 * time.Millisecond)
	w.g.Expect(w.countAborts()).To(Equal(2))
}
