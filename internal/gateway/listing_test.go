package gateway

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/store"
)

// failingFeed is a store of which some calls for a page fail, after something has happened there.
type failingFeed struct {
	*fakeFeed
	before func() error
}

func (f *failingFeed) Page(ctx context.Context, prefix, after string) (store.Page, error) {
	if err := f.before(); err != nil {
		return store.Page{}, err
	}
	return f.fakeFeed.Page(ctx, prefix, after)
}

// A list whose pages fail now and then goes on where it was, and with the changes since its
// position leads to what the store has, whatever is written, removed or restored meanwhile.
func TestListsMakeProgress(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g, inner := NewWithT(rt), newFakeFeed()
		inner.pageSize = rapid.IntRange(1, 4).Draw(rt, "page")
		feed := &failingFeed{fakeFeed: inner}
		gw := newFollower(t, inner)
		gw.options.Feed = feed
		inner.put("config", "1")
		for i := range 12 {
			inner.put(fmt.Sprintf("instances/%02d", i), "")
		}
		pages, version := 0, 1
		feed.before = func() error {
			pages++
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1, 2:
				return errors.Wrap(store.ErrUnknown, "no answer")
			case 3:
				inner.put(fmt.Sprintf("instances/%02d", rapid.IntRange(0, 15).Draw(rt, "key")), "")
			case 4:
				inner.remove(fmt.Sprintf("instances/%02d", rapid.IntRange(0, 15).Draw(rt, "key")))
			case 5:
				version++
				inner.put("config", fmt.Sprint(version))
			case 6:
				if rapid.IntRange(0, 3).Draw(rt, "restore") == 0 {
					inner.restore(inner.revision())
				}
			}
			return nil
		}
		for gw.listKeys(t.Context()) != nil {
			g.Expect(pages).To(BeNumerically("<", 400), "the list does not end")
		}
		feed.before = func() error { return nil }
		for gw.position() != inner.at {
			changes, at, err := inner.Changes(t.Context(), allKeys, gw.position(), 0)
			if errors.Is(err, store.ErrCompacted) {
				g.Expect(gw.listKeys(t.Context())).To(Succeed())
				continue
			}
			gw.mirror.Apply(time.Now(), changes, at)
		}
		var want []string
		for key := range inner.entries {
			want = append(want, key)
		}
		var got []string
		for _, e := range gw.mirror.EntriesInStore() {
			got = append(got, e.Key)
			g.Expect(e.Index).To(Equal(inner.entries[e.Key].Index))
		}
		g.Expect(got).To(ConsistOf(want))
	})
}

// What operators write while a list goes on is in force before it ends.
func TestConfigurationIsInForceWhileAListGoesOn(t *testing.T) {
	g, inner := NewWithT(t), newFakeFeed()
	inner.pageSize = 1
	feed := &failingFeed{fakeFeed: inner, before: func() error { return nil }}
	gw := newFollower(t, inner)
	gw.options.Feed = feed
	inner.put("config", "1")
	g.Expect(gw.listKeys(t.Context())).To(Succeed())
	for i := range 12 {
		inner.put(fmt.Sprint("instances/", i), "")
	}
	pages, inForceAt := 0, 0
	feed.before = func() error {
		if pages++; pages == 3 {
			inner.put("config", "2")
		}
		if inForceAt == 0 && gw.configVersion() == 2 {
			inForceAt = pages
		}
		time.Sleep(refreshInterval / 4)
		return nil
	}
	g.Expect(gw.listKeys(t.Context())).To(Succeed())
	g.Expect(inForceAt).To(BeNumerically(">", 3))
	g.Expect(inForceAt).To(BeNumerically("<", 11), "of %d pages", pages)
}

// A list goes on although what operators have written cannot be read again meanwhile.
func TestListGoesOnWithoutTheOperatorsKeys(t *testing.T) {
	g, inner := NewWithT(t), newFakeFeed()
	inner.pageSize = 2
	inner.put("config", "1")
	gw := newFollower(t, inner)
	g.Expect(gw.listKeys(t.Context())).To(Succeed())
	for i := range 9 {
		inner.put(fmt.Sprint("instances/", i), "")
	}
	gw.options.Feed = &prefixFeed{fakeFeed: inner, failing: "config"}
	g.Expect(gw.listKeys(t.Context())).To(MatchError(store.ErrUnknown))
	g.Expect(gw.listKeys(t.Context())).To(Succeed())
	g.Expect(gw.upstreams()).To(Equal(9))
}

// prefixFeed is a store that does not answer calls for the keys under a prefix.
type prefixFeed struct {
	*fakeFeed
	failing string
}

func (f *prefixFeed) Page(ctx context.Context, prefix, after string) (store.Page, error) {
	if prefix == f.failing {
		return store.Page{}, store.ErrUnknown
	}
	return f.fakeFeed.Page(ctx, prefix, after)
}

// unreadable is a directory in which entries of upstreams with a value of 0xff bytes are not valid.
type unreadable struct{ fakeDirectory }

func (unreadable) Instance(key string, value []byte) (dispatch.Instance, error) {
	if len(value) == 0 || value[0] == 0xff {
		return dispatch.Instance{}, errors.New("not valid")
	}
	return dispatch.Instance{ID: key}, nil
}

// Large values that a router has no use for are not kept, whether they come in a list, with a
// watch, or from a peer of an earlier build: another writer may write any number of them.
func TestUnusedValuesAreNotKept(t *testing.T) {
	large := func(first byte) []byte { return append([]byte{first}, bytes.Repeat([]byte{0xff}, 100_000)...) }
	entries := []store.Entry{
		{Key: "config", Value: large('1'), Index: 1}, {Key: "instances/bad", Value: large(0xff), Index: 2},
		{Key: "instances/good", Value: large(1), Index: 3}, {Key: "other", Value: large(1), Index: 4},
	}
	var changes []store.Change
	for _, e := range entries {
		changes = append(changes, store.Change{Entry: e})
	}
	at := func(revision uint64) store.Position { return store.Position{Era: 1, Revision: revision} }
	for name, take := range map[string]func(*testing.T, *Gateway, *fakeFeed){
		"list": func(t *testing.T, gw *Gateway, feed *fakeFeed) {
			for _, e := range entries {
				feed.put(e.Key, string(e.Value))
			}
			NewWithT(t).Expect(gw.listKeys(t.Context())).To(Succeed())
		},
		"watch": func(t *testing.T, gw *Gateway, feed *fakeFeed) {
			NewWithT(t).Expect(gw.listKeys(t.Context())).To(Succeed())
			for _, e := range entries {
				feed.put(e.Key, string(e.Value))
			}
			NewWithT(t).Expect(gw.watchKeys(t.Context())).To(Succeed())
		},
		"peer's list": func(_ *testing.T, gw *Gateway, _ *fakeFeed) {
			gw.applyPeerKeys("peer", keyUpdate{Era: 1, Revision: 4, LastChange: 4, Whole: true, Entries: append([]store.Entry(nil), entries...)})
		},
		"peer's changes": func(_ *testing.T, gw *Gateway, _ *fakeFeed) {
			gw.replaceMirror(time.Now(), nil, at(0))
			gw.applyPeerKeys("peer", keyUpdate{Era: 1, Revision: 4, LastChange: 4, Changes: append([]store.Change(nil), changes...)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, feed := NewWithT(t), newFakeFeed()
			gw := newFollower(t, feed)
			gw.options.Directory = unreadable{}
			take(t, gw, feed)
			sizes := map[string]int{}
			for _, e := range gw.mirror.EntriesInStore() {
				sizes[e.Key] = len(e.Value)
			}
			whole := len(entries[0].Value)
			g.Expect(sizes).To(Equal(map[string]int{"config": whole, "instances/bad": 0, "instances/good": whole, "other": 0}))
			g.Expect(gw.upstreams()).To(Equal(1))
		})
	}
}
