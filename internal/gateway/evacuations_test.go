package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/evacuation"
	"github.com/jujubeford/jujubeford/store"
)

// evacuated returns the domains that the dispatcher takes for evacuated.
func (g *Gateway) evacuated() (domains []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for domain := range g.dispatcher.RunningInEvacuated() {
		domains = append(domains, domain)
	}
	return domains
}

func TestEvacuationsFollowTheStore(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	gw := followUpstreams(t, feed, 2)
	g.Expect(gw.evacuated()).To(BeEmpty())
	feed.put("evacuations/a", "")
	g.Eventually(gw.evacuated).Should(ConsistOf("a"))
	feed.put("evacuations/nowhere", "")
	g.Eventually(gw.evacuated).Should(ConsistOf("a", "nowhere"))
	feed.remove("evacuations/nowhere")
	g.Eventually(gw.evacuated).Should(ConsistOf("a"))
	feed.setAway(true)
	g.Eventually(gw.isStoreLost).Should(BeTrue())
	g.Consistently(gw.evacuated, "300ms").Should(ConsistOf("a"))
	feed.restore(1)
	feed.setAway(false)
	g.Eventually(func() uint64 { return gw.position().Era }).Should(Equal(uint64(2)))
	g.Expect(gw.evacuated()).To(ConsistOf("a"), "the operator writes it again")
	feed.put("evacuations/a", "")
	g.Eventually(gw.position).Should(Equal(store.Position{Era: 2, Revision: 2}))
	feed.remove("evacuations/a")
	g.Eventually(gw.evacuated).Should(BeEmpty())
}

// A router that the store turns away hears of an evacuation and of its end from a peer, by
// changes and by a whole copy.
func TestEvacuationsTravelBetweenPeers(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	feed.put("instances/1", "")
	from, behind := newFollower(t, feed), newFollower(t, feed)
	for _, gw := range []*Gateway{from, behind} {
		g.Expect(gw.listKeys(t.Context())).To(Succeed())
	}
	feed.put("evacuations/a", "")
	g.Expect(from.listKeys(t.Context())).To(Succeed())
	behind.applyPeerKeys("peer", from.keysSince(behind.position(), 0))
	g.Expect(behind.evacuated()).To(ConsistOf("a"))
	started := newFollower(t, feed)
	started.applyPeerKeys("peer", from.keysSince(store.Position{}, 0))
	g.Expect(started.evacuated()).To(ConsistOf("a"), "one that starts")
	feed.remove("evacuations/a")
	g.Expect(from.listKeys(t.Context())).To(Succeed())
	behind.applyPeerKeys("peer", from.keysSince(behind.position(), 0))
	started.applyPeerKeys("peer", from.keysSince(store.Position{}, 0))
	g.Expect(behind.evacuated()).To(BeEmpty())
	g.Expect(started.evacuated()).To(BeEmpty())
}

func TestLostEvacuationEndsAfterTheGracePeriod(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	feed.put("instances/1", "")
	feed.put("evacuations/a", "")
	gw := newFollower(t, feed)
	g.Expect(gw.listKeys(t.Context())).To(Succeed())
	feed.restore(1)
	g.Expect(gw.listKeys(t.Context())).To(Succeed())
	gw.expire(time.Now())
	g.Expect(gw.evacuated()).To(ConsistOf("a"))
	gw.expire(time.Now().Add(evacuation.RestoreGrace))
	g.Expect(gw.evacuated()).To(BeEmpty())
}
