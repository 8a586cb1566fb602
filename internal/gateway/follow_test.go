package gateway

import (
	"context"
	"sync"
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
	mu       sync.Mutex
	entries  map[string]store.Entry
	history  []store.Change
	revision uint64
	away     bool
	changed  chan struct{}
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{entries: make(map[string]store.Entry), changed: make(chan struct{})}
}

func (f *fakeFeed) change(c store.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	c.Index = f.revision
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

func (f *fakeFeed) Range(context.Context, string) ([]store.Entry, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return nil, 0, store.ErrUnavailable
	}
	var list []store.Entry
	for _, e := range f.entries {
		list = append(list, e)
	}
	return list, f.revision, nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		away, at, changed := f.away, f.revision, f.changed
		var list []store.Change
		for _, c := range f.history {
			if c.Index > after {
				list = append(list, c)
			}
		}
		f.mu.Unlock()
		switch {
		case away:
			return nil, 0, store.ErrUnavailable
		case len(list) > 0:
			return list, at, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// A fakeDirectory takes every key under its prefix for a ready upstream.
type fakeDirectory struct{}

func (fakeDirectory) ConfigKey() string      { return "config" }
func (fakeDirectory) InstancePrefix() string { return "instances/" }
func (fakeDirectory) Table([]byte) (*routing.Table, error) {
	return routing.NewTable(1, routing.Limits{}, nil, nil, nil), nil
}
func (fakeDirectory) Instance(key string, _ []byte) (dispatch.Instance, error) {
	return dispatch.Instance{ID: key, Service: "model", Addr: "127.0.0.1:1", Domain: "a", Slots: 1}, nil
}

// followFeed returns a router that follows a store and sends its ticks until the test ends.
func followFeed(t *testing.T, feed *fakeFeed) *Gateway {
	t.Helper()
	gw, err := New(Options{
		Name: "r", Domain: "a", Listen: "127.0.0.1:1", ReadyListen: "127.0.0.1:2", PeerListen: "127.0.0.1:3",
		Protocol: struct{ Protocol }{}, Directory: fakeDirectory{}, Feed: feed, LeaseStore: struct{ store.LeaseStore }{},
		Dispatch: dispatch.DefaultOptions(),
	})
	if err != nil {
		t.Fatal(err)
	}
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

func TestUpstreamThatLeavesAfterAnOutageGetsNoLateRequests(t *testing.T) {
	g, feed := NewWithT(t), newFakeFeed()
	for _, key := range []string{"instances/1", "instances/2", "instances/3", "instances/4"} {
		feed.put(key, "")
	}
	gw := followFeed(t, feed)
	g.Eventually(gw.upstreams).Should(Equal(4))
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
	for _, key := range []string{"instances/1", "instances/2", "instances/3", "instances/4"} {
		feed.put(key, "")
	}
	gw := followFeed(t, feed)
	g.Eventually(gw.upstreams).Should(Equal(4))
	time.Sleep(watchPause)
	feed.remove("instances/1")
	feed.remove("instances/2")
	left := time.Now()
	g.Eventually(gw.upstreams, 5*time.Second).Should(Equal(2))
	g.Expect(time.Since(left)).To(BeNumerically("<", upstreamServes))
}
