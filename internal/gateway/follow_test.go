package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/store"
)

// upstreamServes is how long an upstream goes on serving after the store has accepted that
// it leaves, by the users' bound.
const upstreamServes = 2 * time.Second

// A fakeFeed is a store with one key after another.
type fakeFeed struct {
	mu      sync.Mutex
	entries map[string]store.Entry
	history []store.Change
	at      store.Position
	away    bool
	changed chan struct{}
	calls   int
	// pageSize is the number of keys in a page, 0 if all are in one.
	pageSize int
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{at: store.Position{Era: 1}, entries: make(map[string]store.Entry), changed: make(chan struct{})}
}

func (f *fakeFeed) change(c store.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at.Revision++
	c.Index = f.at.Revision
	f.history = append(f.history, c)
	if delete(f.entries, c.Key); !c.Deleted {
		f.entries[c.Key] = c.Entry
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) put(key, value string) {
	f.change(store.Change{Entry: store.Entry{Key: key, Value: []byte(value)}})
}

func (f *fakeFeed) remove(key string) {
	f.change(store.Change{Entry: store.Entry{Key: key}, Deleted: true})
}

// setAway makes all calls fail, those that wait included.
func (f *fakeFeed) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
	close(f.changed)
	f.changed = make(chan struct{})
}

// restore puts the store back to a revision, in a new era.
func (f *fakeFeed) restore(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at = store.Position{Era: f.at.Era + 1, Revision: revision}
	kept := f.history[:0]
	f.entries = make(map[string]store.Entry)
	for _, c := range f.history {
		if c.Index > revision {
			continue
		}
		kept = append(kept, c)
		if delete(f.entries, c.Key); !c.Deleted {
			f.entries[c.Key] = c.Entry
		}
	}
	f.history = kept
	close(f.changed)
	f.changed = make(chan struct{})
}

// callCount returns the number of calls so far.
func (f *fakeFeed) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeFeed) Page(_ context.Context, prefix, after string) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.away {
		return store.Page{}, store.ErrUnavailable
	}
	page := store.Page{At: f.at}
	for _, key := range slices.Sorted(maps.Keys(f.entries)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if f.pageSize > 0 && len(page.Entries) == f.pageSize {
			page.Next = page.Entries[f.pageSize-1].Key
			break
		}
		page.Entries = append(page.Entries, f.entries[key])
	}
	return page, nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
	timeout := time.After(wait)
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	for {
		f.mu.Lock()
		away, at, changed := f.away, f.at, f.changed
		var list []store.Change
		for _, c := range f.history {
			if c.Index > after.Revision {
				list = append(list, c)
			}
		}
		f.mu.Unlock()
		switch {
		case away:
			return nil, store.Position{}, store.ErrUnavailable
		case at.Era != after.Era:
			return nil, store.Position{}, store.ErrCompacted
		case len(list) > 0:
			return list, at, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, at, nil
		case <-ctx.Done():
			return nil, store.Position{}, ctx.Err()
		}
	}
}

// A fakeDirectory takes every key under its prefix for an upstream, which is leaving if the value
// says so.
type fakeDirectory struct{}

func (fakeDirectory) ConfigKey() string      { return "config" }
func (fakeDirectory) InstancePrefix() string { return "instances/" }

func (fakeDirectory) EvacuationPrefix() string { return "evacuations/" }

// Table takes the first word of a value for the version.
func (fakeDirectory) Table(value []byte) (*routing.Table, error) {
	var version uint64
	if _, err := fmt.Sscan(string(value), &version); err != nil {
		return nil, err
	}
	return routing.NewTable(version, routing.Limits{}, nil, nil, nil), nil
}
func (fakeDirectory) Instance(key string, value []byte) (dispatch.Instance, error) {
	return dispatch.Instance{ID: key, Service: "model", Addr: "127.0.0.1:1", Domain: "a", Slots: 1, Started: 1, Draining: string(value) == "leaving"}, nil
}

// newFollower returns a router that does not run.
func newFollower(t *testing.T, feed *fakeFeed) *Gateway {
	t.Helper()
	gw, err := New(Options{
		Name: "r", Domain: "a", Listen: "127.0.0.1:1", ReadyListen: "127.0.0.1:2", PeerListen: "127.0.0.1:3",
		Protocol: struct{ Protocol }{}, Directory: fakeDirectory{}, Feed: feed, LeaseStore: struct{ store.LeaseStore }{},
		Dispatch: dispatch.DefaultOptions(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return gw
}

// followFeed returns a router that follows a store and sends its ticks until the test ends.
func followFeed(t *testing.T, feed *fakeFeed) *Gateway {
	t.Helper()
	gw := newFollower(t, feed)
	gw.peers.started = time.Now().Add(-watchStartDelay)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context){gw.followStore, gw.runTicks} {
		running.Go(func() { run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return gw
}

func (g *Gateway) upstreams() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Upstreams()
}

// followUpstreams returns a router that follows a store with n upstreams.
func followUpstreams(t *testing.T, feed *fakeFeed, n int) *Gateway {
	t.Helper()
	for i := range n {
		feed.put(fmt.Sprint("instances/", i+1), "")
	}
	gw := followFeed(t, feed)
	NewWithT(t).Eventually(gw.upstreams).Should(Equal(n))
	return gw
}

func TestUpstreamThatLeavesAfterAnOutageGetsNoLateRequests(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	gw := followUpstreams(t, feed, 4)
	feed.setAway(true)
	g.Eventually(gw.isStoreLost).Should(BeTrue())
	feed.setAway(false)
	// By then the router watches the store again, and nothing has changed there.
	time.Sleep(storeBackoff + 200*time.Millisecond)
	feed.remove("instances/1")
	left := time.Now()
	g.Eventually(gw.upstreams, 5*time.Second).Should(Equal(3))
	g.Expect(time.Since(left)).To(BeNumerically("<", upstreamServes))
}

func TestUpstreamsThatLeaveTogetherGetNoLateRequests(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	gw := followUpstreams(t, feed, 4)
	time.Sleep(watchPause)
	feed.remove("instances/1")
	feed.remove("instances/2")
	left := time.Now()
	g.Eventually(gw.upstreams, 5*time.Second).Should(Equal(2))
	g.Expect(time.Since(left)).To(BeNumerically("<", upstreamServes))
}

// Nothing older is put in force, and the store is not read without a pause.
func TestRestoredStoreIsFollowed(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	feed.put("config", "1")
	for i := range 6 {
		feed.put(fmt.Sprint("instances/", i), "")
	}
	copied := feed.at.Revision
	feed.put("config", "2")
	feed.put("instances/6", "")
	gw := followFeed(t, feed)
	g.Eventually(gw.upstreams).Should(Equal(7))
	g.Expect(gw.configVersion()).To(BeEquivalentTo(2))
	feed.restore(copied)
	g.Eventually(func() uint64 { return gw.position().Era }, 5*time.Second).Should(BeEquivalentTo(2))
	g.Expect(gw.configVersion()).To(BeEquivalentTo(2), "the configuration in force is kept")
	g.Expect(gw.upstreams()).To(Equal(7), "an upstream that is written again is kept meanwhile")
	// The revisions of version 2 are given out again.
	feed.put("instances/6", "")
	feed.put("config", "3")
	g.Eventually(gw.configVersion, 5*time.Second).Should(BeEquivalentTo(3))
	g.Expect(feed.callCount()).To(BeNumerically("<", 20))
	feed.remove("instances/6")
	g.Eventually(gw.upstreams, 5*time.Second).Should(Equal(6))
}

// Other content under the version in force is taken in a later era only.
func TestOtherContentUnderTheSameVersion(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	feed.put("config", "1")
	copied := feed.at.Revision
	feed.put("config", "2 a")
	gw := followFeed(t, feed)
	content := func() string {
		gw.mirrorMu.Lock()
		defer gw.mirrorMu.Unlock()
		return string(gw.inForce.value)
	}
	g.Eventually(content).Should(Equal("2 a"))
	feed.put("config", "2 b")
	g.Consistently(content).Should(Equal("2 a"))
	feed.restore(copied)
	feed.put("config", "2 c")
	g.Eventually(content, 5*time.Second).Should(Equal("2 c"))
}

func TestRouterThatStartsAfterARestoreTakesTheNewestConfiguration(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	feed.put("config", "1")
	copied := feed.at.Revision
	feed.put("config", "2")
	old := followFeed(t, feed)
	g.Eventually(old.configVersion).Should(BeEquivalentTo(2))
	feed.restore(copied)
	g.Eventually(func() uint64 { return old.position().Era }, 5*time.Second).Should(BeEquivalentTo(2))
	started := followFeed(t, feed)
	g.Eventually(started.configVersion).Should(BeEquivalentTo(1))
	own := copySituation{domain: "a", lastChange: started.lastChange(), config: started.configVersion()}
	report := keysReport{from: "old", domain: "a", lastChange: old.lastChange(), config: old.configVersion()}
	_, due := (&copyState{}).observe(time.Now(), own, report)
	g.Expect(due).To(BeTrue())
	started.applyPeerKeys("old", old.keysSince(started.position(), started.configVersion()))
	g.Expect(started.configVersion()).To(BeEquivalentTo(2))
	feed.put("config", "4")
	g.Eventually(started.configVersion, 5*time.Second).Should(BeEquivalentTo(4))
}

func TestCopyOfAnEarlierEraIsNotTaken(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	feed.put("config", "1")
	copied := feed.at.Revision
	for i := range 5 {
		feed.put(fmt.Sprint("instances/", i), "")
	}
	gw, behind := followFeed(t, feed), newFollower(t, newFakeFeed())
	g.Eventually(gw.upstreams).Should(Equal(5))
	behind.applyPeerKeys("gw", gw.keysSince(behind.position(), 0))
	g.Expect(behind.position()).To(Equal(gw.position()))
	feed.restore(copied)
	g.Eventually(func() uint64 { return gw.position().Era }, 5*time.Second).Should(BeEquivalentTo(2))
	gw.applyPeerKeys("behind", behind.keysSince(gw.position(), gw.configVersion()))
	g.Expect(gw.position().Era).To(BeEquivalentTo(2))
	g.Expect(behind.lastChange().Before(gw.lastChange())).To(BeTrue())
	behind.applyPeerKeys("gw", gw.keysSince(behind.position(), behind.configVersion()))
	g.Expect(behind.position()).To(Equal(gw.position()))
	g.Expect(behind.lastChange()).To(Equal(gw.lastChange()))
}

// A router that learnt of a removal from a list has another revision for it than its peers.
func TestCopiesEndOnceNothingIsNewer(t *testing.T) {
	g := NewWithT(t)
	listed, watched := newFollower(t, newFakeFeed()), newFollower(t, newFakeFeed())
	entry := store.Entry{Key: "instances/1", Index: 2}
	at := func(revision uint64) store.Position { return store.Position{Era: 1, Revision: revision} }
	for _, gw := range []*Gateway{listed, watched} {
		gw.mirror.Replace(time.Now(), []store.Entry{entry}, at(2))
	}
	watched.mirror.Apply(time.Now(), []store.Change{{Entry: store.Entry{Key: entry.Key, Index: 3}, Deleted: true}}, at(9))
	listed.mirror.Replace(time.Now(), nil, at(9))
	g.Expect(watched.lastChange().Before(listed.lastChange())).To(BeTrue())
	watched.applyPeerKeys("listed", listed.keysSince(watched.position(), 0))
	g.Expect(watched.lastChange()).To(Equal(listed.lastChange()))
}

// A restored store lists a leaving upstream as ready until it writes its entry again.
func TestOlderEntryDoesNotTakeBackThatAnUpstreamLeaves(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	feed.put("instances/1", "")
	feed.put("instances/2", "")
	copied := feed.at.Revision
	feed.put("instances/1", "leaving")
	gw := followFeed(t, feed)
	leaving := func() bool {
		gw.mirrorMu.Lock()
		defer gw.mirrorMu.Unlock()
		return gw.decoded["instances/1"].instance.Draining
	}
	g.Eventually(leaving).Should(BeTrue())
	feed.restore(copied)
	g.Eventually(func() uint64 { return gw.position().Era }, 5*time.Second).Should(BeEquivalentTo(2))
	g.Expect(leaving()).To(BeTrue())
	feed.put("instances/2", "again")
	g.Consistently(leaving).Should(BeTrue())
	feed.put("instances/1", "")
	g.Eventually(leaving, 5*time.Second).Should(BeFalse())
}

// fakeLeases is a store of leases that can be put back to what it had.
type fakeLeases struct {
	store.LeaseStore
	granted int
	lost    map[store.LeaseID]bool
	held    map[string]store.LeaseID
}

func (f *fakeLeases) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	f.granted++
	return store.LeaseID(fmt.Sprint(f.granted)), nil
}

func (f *fakeLeases) Renew(_ context.Context, lease store.LeaseID) error {
	if f.lost[lease] {
		return store.ErrLeaseLost
	}
	return nil
}

func (f *fakeLeases) Acquire(_ context.Context, key string, _ []byte, lease store.LeaseID) (bool, error) {
	if holder, ok := f.held[key]; ok && holder != lease {
		return false, nil
	}
	f.held[key] = lease
	return true, nil
}

// The copy has the router's key with a lease of an earlier era.
func TestRouterRegistersAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	gw := newFollower(t, newFakeFeed())
	leases := &fakeLeases{lost: make(map[store.LeaseID]bool), held: make(map[string]store.LeaseID)}
	gw.options.LeaseStore = leases
	var r registration
	for restores := range 3 {
		g.Expect(gw.renewRegistration(t.Context(), &r)).To(Succeed())
		g.Expect(gw.renewRegistration(t.Context(), &r)).To(Succeed())
		g.Expect(leases.granted).To(Equal(restores + 1))
		g.Expect(leases.held).To(ContainElement(r.lease))
		leases.lost[r.lease] = true
	}
}

// The peer learns of the lapse with the answer that ends its outage, the other router from the peer.
func TestLapsedEntryIsRetainedWhenAPeerTellsOfIt(t *testing.T) {
	at := func(revision uint64) store.Position { return store.Position{Era: 1, Revision: revision} }
	var entries []store.Entry
	for i := range 6 {
		entries = append(entries, store.Entry{Key: fmt.Sprint("instances/", i), Index: 2})
	}
	for _, lost := range []bool{true, false} {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprintf("store lost %t, whole copy %t", lost, whole), func(t *testing.T) {
				g, now := NewWithT(t), time.Now()
				peer, gw := newFollower(t, newFakeFeed()), newFollower(t, newFakeFeed())
				peer.mirror.Replace(now, entries, at(2))
				gw.mirror.Replace(now, entries, at(2))
				if lost {
					gw.mirror.MarkStoreUnavailable()
				}
				peer.mirror.MarkStoreUnavailable()
				peer.mirror.MarkStoreAvailable(now)
				peer.mirror.Apply(now, []store.Change{{Entry: store.Entry{Key: "instances/0", Index: 3}, Deleted: true}}, at(3))
				after := gw.position()
				if whole {
					after = store.Position{}
				}
				gw.applyPeerKeys("peer", peer.keysSince(after, 0))
				g.Expect(peer.mirror.RemoveExpired(now.Add(2 * time.Second))).To(BeEmpty())
				g.Expect(gw.mirror.RemoveExpired(now.Add(2 * time.Second))).To(BeEmpty())
			})
		}
	}
}

// lateFeed is a store that answers no watch in time while it is late, and all other calls.
type lateFeed struct {
	*fakeFeed
	late  atomic.Bool
	lists atomic.Int64
}

func (f *lateFeed) Changes(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
	if f.late.Load() && after.Revision < f.revision() {
		return nil, store.Position{}, store.ErrLate
	}
	return f.fakeFeed.Changes(ctx, prefix, after, wait)
}

func (f *lateFeed) Page(ctx context.Context, prefix, after string) (store.Page, error) {
	if prefix == allKeys {
		f.lists.Add(1)
	}
	return f.fakeFeed.Page(ctx, prefix, after)
}

func (f *fakeFeed) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at.Revision
}

// A store that answers, but to no watch from so long ago, is listed. One watch that is late may
// be due to the connection.
func TestStoreIsListedIfWatchesAreLate(t *testing.T) {
	g := NewWithT(t)
	feed := &lateFeed{fakeFeed: newFakeFeed()}
	feed.put("config", "1")
	gw := newFollower(t, feed.fakeFeed)
	gw.options.Feed = feed
	g.Expect(gw.listKeys(t.Context())).To(Succeed())
	feed.put("config", "2")
	late, err := gw.watchInTime(t.Context(), false)
	g.Expect(late).To(BeFalse())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gw.configVersion()).To(BeEquivalentTo(2))

	feed.late.Store(true)
	feed.put("config", "3")
	late, err = gw.watchInTime(t.Context(), false)
	g.Expect(late).To(BeTrue())
	g.Expect(err).To(MatchError(store.ErrLate))
	feed.setAway(true)
	late, err = gw.watchInTime(t.Context(), true)
	g.Expect(late).To(BeTrue(), "the store is away")
	g.Expect(err).To(MatchError(store.ErrUnavailable))
	feed.setAway(false)
	late, err = gw.watchInTime(t.Context(), true)
	g.Expect(late).To(BeFalse())
	g.Expect(err).To(MatchError(store.ErrCompacted))

	feed.late.Store(false)
	lists := feed.lists.Load()
	_, err = gw.watchInTime(t.Context(), true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gw.configVersion()).To(BeEquivalentTo(3))
	g.Expect(feed.lists.Load()).To(Equal(lists), "changes that arrive need no list")
}
