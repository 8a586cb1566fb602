package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

// Reports of a peer that is as far behind arrive between those of one that is ahead.
func TestPeerAheadIsCopiedDespiteOthersBehind(t *testing.T) {
	for _, x := range []struct {
		situation copySituation
		want      time.Duration
	}{
		{copySituation{domain: "a", watches: true}, copyDelayWatching},
		{copySituation{domain: "a"}, copyDelayRemote},
		{copySituation{domain: "a", storeLost: true}, 0},
	} {
		t.Run(fmt.Sprintf("%+v", x.situation), func(t *testing.T) {
			g, c := NewWithT(t), copyState{}
			x.situation.lastChange = store.Position{Era: 1, Revision: 39}
			start := time.Unix(1000, 0)
			for at := time.Duration(0); at <= 2*time.Second; at += 10 * time.Millisecond {
				_, due := c.observe(start.Add(at), x.situation, keysReport{from: "behind", domain: "a", lastChange: store.Position{Era: 1, Revision: 39}})
				g.Expect(due).To(BeFalse(), "a peer without newer keys is not copied")
				if from, due := c.observe(start.Add(at), x.situation, keysReport{from: "ahead", domain: "b", lastChange: store.Position{Era: 1, Revision: 40}}); due {
					g.Expect(from).To(Equal("ahead"))
					g.Expect(at).To(Equal(x.want))
					return
				}
			}
			t.Fatal("the keys of the peer that is ahead were not copied within 2 s")
		})
	}
}

func TestDelayOfCopiesStartsAnewAfterCatchingUp(t *testing.T) {
	g, c := NewWithT(t), copyState{}
	start := time.Unix(1000, 0)
	watching := copySituation{domain: "a", watches: true, lastChange: store.Position{Era: 1, Revision: 39}}
	ahead := keysReport{from: "ahead", domain: "a", lastChange: store.Position{Era: 1, Revision: 40}}
	_, due := c.observe(start, watching, ahead)
	g.Expect(due).To(BeFalse())
	watching.lastChange.Revision = 40
	_, due = c.observe(start.Add(100*time.Millisecond), watching, ahead)
	g.Expect(due).To(BeFalse())
	ahead.lastChange.Revision = 41
	_, due = c.observe(start.Add(time.Minute), watching, ahead)
	g.Expect(due).To(BeFalse())
	from, due := c.observe(start.Add(time.Minute+copyDelayWatching), watching, ahead)
	g.Expect(due).To(BeTrue())
	g.Expect(from).To(Equal("ahead"))
}

// sizes is an http.RoundTripper that records the sizes of responses.
type sizes struct {
	mu      sync.Mutex
	largest int
	calls   int
}

func (s *sizes) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largest, s.calls = max(s.largest, len(body)), s.calls+1
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, err
}

// Copies for a router that has no keys, or has been away, are taken in pieces that fit the
// bound of one answer, also where the whole is larger than that.
func TestCopiesAreTakenInPieces(t *testing.T) {
	value := func(i int) []byte { return bytes.Repeat([]byte{byte(i)}, store.MaxValue) }
	const keys = 14
	for _, away := range []bool{false, true} {
		t.Run(fmt.Sprint("away ", away), func(t *testing.T) {
			g, now := NewWithT(t), time.Now()
			peer, gw := newFollower(t, newFakeFeed()), newFollower(t, newFakeFeed())
			first := []store.Entry{{Key: "config", Value: []byte("1"), Index: 1}}
			peer.replaceMirror(now, first, store.Position{Era: 1, Revision: 1})
			if away {
				gw.replaceMirror(now, first, store.Position{Era: 1, Revision: 1})
			}
			revision := uint64(1)
			for version := 2; version < 30; version++ {
				for i := range keys {
					revision++
					peer.mirror.Apply(now, []store.Change{{Entry: store.Entry{Key: fmt.Sprint("instances/", i), Value: value(version + i), Index: revision}}},
						store.Position{Era: 1, Revision: revision})
				}
			}
			server := httptest.NewServer(peer.peers.mux())
			defer server.Close()
			got := &sizes{}
			gw.peers.client.Transport = got
			g.Expect(gw.peers.copyKeys(strings.TrimPrefix(server.URL, "http://"))).To(Succeed())
			g.Expect(gw.position()).To(Equal(peer.position()))
			g.Expect(gw.mirror.EntriesInStore()).To(Equal(peer.mirror.EntriesInStore()))
			g.Expect(got.calls).To(BeNumerically("<=", keys+2))
			g.Expect(got.largest).To(BeNumerically("<", 3*store.MaxValue))
		})
	}
}

// A configuration is sent once, not beside the entry that holds it.
func TestConfigurationIsSentOnce(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	peer, gw := newFollower(t, newFakeFeed()), newFollower(t, newFakeFeed())
	at := func(revision uint64) store.Position { return store.Position{Era: 1, Revision: revision} }
	peer.replaceMirror(now, []store.Entry{{Key: "config", Value: []byte("7"), Index: 2}}, at(2))
	peer.applyMirror()
	g.Expect(peer.configVersion()).To(BeEquivalentTo(7))
	for _, after := range []store.Position{{}, at(1)} {
		g.Expect(peer.keysSince(after, 0).Config).To(BeEmpty())
	}
	g.Expect(peer.keysSince(at(2), 0).Config).NotTo(BeEmpty(), "the entry is not part of the copy")
	gw.applyPeerKeys("peer", peer.keysSince(gw.position(), 0))
	g.Expect(gw.configVersion()).To(BeEquivalentTo(7))
	// The store loses the configuration in force.
	peer.replaceMirror(now, []store.Entry{{Key: "config", Value: []byte("3"), Index: 2}}, store.Position{Era: 2, Revision: 2})
	peer.applyMirror()
	g.Expect(peer.keysSince(store.Position{}, 3).Config).NotTo(BeEmpty())
}

// Earlier builds know no pieces, and send each value that a key had since the position. If that
// is too large, what they have now is listed.
func TestLargeCopiesOfEarlierBuildsAreListed(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	gw := newFollower(t, newFakeFeed())
	gw.peers.client.Timeout = time.Minute // The size is the matter, not the time.
	gw.replaceMirror(now, []store.Entry{{Key: "config", Value: []byte("1"), Index: 1}}, store.Position{Era: 1, Revision: 1})
	entry := store.Entry{Key: "config", Value: []byte("9"), Index: 9}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := keyUpdate{Era: 1, Revision: 9, LastChange: 9, Whole: true, Entries: []store.Entry{entry}}
		if r.URL.Query().Get("after") != "0" {
			k.Whole, k.Entries = false, nil
			for i := uint64(2); i < 9; i++ {
				k.Changes = append(k.Changes, store.Change{Entry: store.Entry{Key: "config", Value: make([]byte, store.MaxValue), Index: i}})
			}
			k.Changes = append(k.Changes, store.Change{Entry: entry})
		}
		_ = json.NewEncoder(w).Encode(k) // The reader may have left.
	}))
	defer server.Close()
	g.Expect(gw.peers.copyKeys(strings.TrimPrefix(server.URL, "http://"))).To(Succeed())
	g.Expect(gw.position()).To(Equal(store.Position{Era: 1, Revision: 9}))
	g.Expect(gw.mirror.EntriesInStore()).To(Equal([]store.Entry{entry}))
}

// A peer that has not heard of the restored store has a newer configuration than the store. Its
// list is of an earlier era and changes nothing else.
func TestConfigurationOfAnEarlierEraIsTaken(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	peer, gw := newFollower(t, newFakeFeed()), newFollower(t, newFakeFeed())
	list := func(version string) []store.Entry {
		return []store.Entry{{Key: "config", Value: []byte(version), Index: 2}}
	}
	peer.replaceMirror(now, list("7"), store.Position{Era: 1, Revision: 5})
	peer.applyMirror()
	gw.replaceMirror(now, list("6"), store.Position{Era: 2, Revision: 2})
	gw.applyMirror()
	gw.applyPeerKeys("peer", peer.keysSince(gw.position(), gw.configVersion()))
	g.Expect(gw.configVersion()).To(BeEquivalentTo(7))
	g.Expect(gw.position()).To(Equal(store.Position{Era: 2, Revision: 2}))
	g.Expect(gw.mirror.EntriesInStore()).To(Equal(list("6")))
}
