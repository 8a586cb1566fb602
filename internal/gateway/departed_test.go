package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/store"
)

// departed returns the upstreams that count as departed at a router.
func (g *Gateway) departed() (ids []string) {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	for _, in := range g.decodeInstances(g.mirror.Entries("instances/")) {
		if in.Departed {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// An upstream whose entry was removed gets nothing when the store comes back with the entry:
// at a router that follows the store, at one that copies, and at one that starts meanwhile and
// hears of it in a report. It gets requests again once it has written its entry anew.
func TestRemovedUpstreamStaysAwayAfterARestore(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	for _, id := range []string{"1", "2", "3"} {
		feed.put("instances/"+id, "")
	}
	copied := feed.at.Revision
	watches, copies := newFollower(t, feed), newFollower(t, feed)
	update := func(gw *Gateway) { g.Expect(gw.listKeys(t.Context())).To(Succeed()) }
	copyKeys := func() { copies.applyPeerKeys("peer", watches.keysSince(copies.position(), 0)) }
	update(watches)
	update(copies)
	feed.remove("instances/1")
	update(watches)
	copyKeys()
	for _, gw := range []*Gateway{watches, copies} {
		gw.expire(time.Now().Add(time.Second))
		g.Expect(gw.upstreams()).To(Equal(2))
	}
	feed.restore(copied)
	feed.put("instances/2", "")
	update(watches)
	copyKeys()
	starts := newFollower(t, feed)
	update(starts)
	g.Expect(watches.departed()).To(ConsistOf("instances/1"))
	g.Expect(copies.departed()).To(ConsistOf("instances/1"))
	for _, gw := range []*Gateway{watches, copies} {
		g.Expect(gw.usedUpstreams()).To(HaveLen(2))
	}
	g.Expect(starts.usedUpstreams()).To(HaveLen(3), "it does not know better yet")
	starts.step(dispatch.PeerReported{Peer: "peer", Report: watches.dispatcher.Report(time.Now())})
	g.Expect(starts.usedUpstreams()).To(HaveLen(2))
	feed.put("instances/1", "")
	g.Expect(feed.at).To(Equal(store.Position{Era: 2, Revision: copied + 2}))
	for _, gw := range []*Gateway{watches, starts} {
		update(gw)
	}
	copyKeys()
	for _, gw := range []*Gateway{watches, copies, starts} {
		g.Expect(gw.departed()).To(BeEmpty())
		g.Expect(gw.usedUpstreams()).To(HaveLen(3))
	}
}

// usedUpstreams returns the upstreams that get any of several requests one after another.
func (g *Gateway) usedUpstreams() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	used := make(map[string]bool)
	for i := range 30 {
		now := time.Now()
		request := &dispatch.Request{
			ID: fmt.Sprint("request ", i), Service: "model", Deadline: now.Add(time.Minute),
			Route: &routing.Route{Kind: routing.Idempotent, MaxAttempts: 1, LatencyTarget: time.Second},
		}
		for _, effect := range g.dispatcher.Step(now, dispatch.Arrive{Request: request}) {
			if e, ok := effect.(dispatch.Send); ok {
				used[e.Upstream.ID] = true
				g.dispatcher.Step(now, dispatch.Done{ID: e.ID, Attempt: e.Attempt})
			}
		}
	}
	return used
}
