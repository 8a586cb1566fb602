package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"
)

// UnreportedTokens counts a long prompt when it is sent and when it has been read, and is
// reset by a Report.
func TestUnreportedCountsPromptTokens(t *testing.T) {
	f := newFixture(t, 4)
	g := f.g
	g.Expect(f.UnreportedTokens()).To(BeZero())
	id := f.arrive(draft, model, 12_000)
	g.Expect(f.UnreportedTokens()).To(Equal(12_000 + slotChangeTokens))
	f.Report(f.now)
	g.Expect(f.UnreportedTokens()).To(BeZero())
	f.step(FirstByteReceived{id, f.lastSend(id).Attempt})
	g.Expect(f.UnreportedTokens()).To(Equal(12_000))
	f.step(Done{id, f.lastSend(id).Attempt})
	g.Expect(f.UnreportedTokens()).To(Equal(12_000 + slotChangeTokens))
}
