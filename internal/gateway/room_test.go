package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/holding"
)

// TestBodyGivesWayOrArrives: a body that has to give way does not count as arrived any more, and
// one that has arrived does not give way: its read deadline would end the request that it is
// dispatched with.
func TestBodyGivesWayOrArrives(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		g := NewWithT(t)
		r := &room{state: holding.New(16 << 20)}
		gaveWay := make(chan struct{})
		stalled, other := newHold("a", func() { close(gaveWay) }), newHold("b", func() {})
		g.Expect(r.await(stalled, holding.LargeBodies, 3<<20, time.Now())).To(BeTrue())
		g.Expect(r.await(other, holding.LargeBodies, 3<<20, time.Now())).To(BeFalse())
		if arrives {
			g.Expect(r.settle(stalled, 3<<20)).To(BeTrue())
		}
		r.mu.Lock()
		dropped, _ := r.state.Tick(time.Now().Add(time.Hour), time.Second)
		ended := r.mark(dropped)
		r.mu.Unlock()
		// The reader of the body comes before giveWay is called.
		g.Expect(r.settle(stalled, 3<<20)).To(Equal(arrives))
		g.Expect(ended).To(HaveLen(map[bool]int{true: 0, false: 1}[arrives]))
	}
}
