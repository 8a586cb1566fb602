package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestUnreportedFollowsThePrompts: a long prompt that is sent, and one that has
// been read, are news for the other routers; a report takes them up.
func TestUnreportedCountsPromptTokens(t *testing.T) {
	w := newFixture(t, 4)
	g := w.g
	g.Expect(w.Unreported()).To(BeZero())
	id := w.arrive(draft, model, 12_000)
	g.Expect(w.Unreported()).To(Equal(12_000 + slotChangeTokens))
	w.Report(w.now)
	g.Expect(w.Unreported()).To(BeZero())
	w.step(Answered{id, w.lastSend(id).Attempt})
	g.Expect(w.Unreported()).To(Equal(12_000))
	w.step(Done{id, w.lastSend(id).Attempt})
	g.Expect(w.Unreported()).To(Equal(12_000 + slotChangeTokens))
}
