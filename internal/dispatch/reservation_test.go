package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"
)

// newMemoryFixture returns a fixture with engines whose memory is short, and not their time.
func newMemoryFixture(t *testing.T, engines int) *fixture {
	f := newFixture(t, engines)
	f.options.PrefillRate = 1e8
	return f
}

func (f *fixture) arriveLarge(org string, tokens int) string {
	id := f.arriveFor(org, draft, model, tokens)
	if send, ok := f.last[id].(Send); ok {
		f.step(FirstByteReceived{ID: id, Attempt: send.Attempt})
	}
	return id
}

// What is reserved for a request is used by it, whoever else waits for memory before it.
func TestReservedMemoryIsUsed(t *testing.T) {
	f := newMemoryFixture(t, 1)
	first := f.arriveLarge("o", 300_000)
	f.arriveLarge("o", 200_000)
	large := f.arriveLarge("p", 300_000)
	f.arriveLarge("a", 100_000)
	f.g.Expect(f.Waiting()).To(Equal(2))
	f.step(Done{ID: first, Attempt: f.lastSend(first).Attempt})
	f.g.Expect(f.last[large]).To(BeAssignableToTypeOf(Send{}))
}
