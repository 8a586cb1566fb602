package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// engineCache simulates an engine's cache. It keeps all parts of the prompts that were
// read, including those of single requests, and evicts the least recently used ones.
type engineCache struct {
	lastUsed map[uint64]time.Time
	sizes    map[uint64]int
	size     int
	limit    int
}

func newEngineCache(limit int) *engineCache {
	return &engineCache{lastUsed: make(map[uint64]time.Time), sizes: make(map[uint64]int), limit: limit}
}

// cachedPrefix returns how many of the leading parts are cached.
func (c *engineCache) cachedPrefix(parts []Part) (n int) {
	for n < len(parts) && !c.lastUsed[parts[n].ID].IsZero() {
		n++
	}
	return n
}

func (c *engineCache) recordUse(now time.Time, parts []Part) {
	for _, p := range parts {
		if c.lastUsed[p.ID].IsZero() {
			c.size += p.Tokens
			c.sizes[p.ID] = p.Tokens
		}
		c.lastUsed[p.ID] = now
	}
	for c.size > c.limit {
		var oldest uint64
		for id, at := range c.lastUsed {
			if oldest == 0 || at.Before(c.lastUsed[oldest]) || at.Equal(c.lastUsed[oldest]) && id < oldest {
				oldest = id
			}
		}
		c.size -= c.sizes[oldest]
		delete(c.lastUsed, oldest)
	}
}

// rereadFraction simulates draft requests of several sessions, sent through routers that
// report to each other. The requests of a session share a part of 5,000 tokens, and the
// memory of an engine turns over in about 7 s. The result is the fraction of the shared
// tokens that are read again although the session was used within reuseWindow.
func rereadFraction(t *testing.T, routers, engines, sessions int, duration time.Duration) (rereads float64) {
	const (
		sharedTokens, ownTokens = 5000, 7000
		cacheTokens             = 300_000 // tokens; partTokens is cacheMemoryFraction of it
		partTokens              = 180_000
		requestsPerSecond       = 2 // per engine
		prefillDuration         = 150 * time.Millisecond
		reportInterval          = 25 * time.Millisecond
		reuseWindow             = 9 * time.Second
	)
	var fleet []*fixture
	for range routers {
		f := newFixture(t, engines)
		engine := *f.table.Service(model).Engine
		engine.CacheTokens = cacheTokens
		f.step(TableChanged{Table: routing.NewTable(2, routing.Limits{}, nil, []routing.Service{{Name: model, Engine: &engine}, {Name: plain}}, nil)})
		f.step(InstancesChanged{Instances: instances(engines)})
		fleet = append(fleet, f)
	}
	caches := make(map[string]*engineCache)
	for _, in := range instances(engines) {
		caches[in.Addr] = newEngineCache(partTokens)
	}
	random := rand.New(rand.NewPCG(3, 3))
	usedAt := make(map[uint64]time.Time)
	var reusedTokens, rereadTokens, seq int
	type run struct {
		router *fixture
		id     string
		send   Send
		until  time.Time
	}
	var runs []run
	now, nextArrival := start, start
	for end := start.Add(duration); now.Before(end); now = now.Add(reportInterval) {
		for i, f := range fleet {
			f.now = now
			f.step(Tick{})
			report := f.Report(now)
			for j, other := range fleet {
				if i != j {
					other.now = now
					other.step(PeerReported{Peer: fmt.Sprint("peer", i), Report: report})
				}
			}
		}
		for len(runs) > 0 && !now.Before(runs[0].until) {
			r := runs[0]
			runs = runs[1:]
			r.router.step(FirstByteReceived{ID: r.id, Attempt: r.send.Attempt})
			r.router.step(Done{ID: r.id, Attempt: r.send.Attempt})
		}
		for ; !now.Before(nextArrival); nextArrival = nextArrival.Add(time.Second / time.Duration(requestsPerSecond*engines)) {
			seq++
			f, id := fleet[random.IntN(routers)], fmt.Sprint("s", seq)
			// Some sessions are used much more often than others.
			session := uint64(1 + int(float64(sessions)*random.Float64()*random.Float64()))
			parts := []Part{{ID: session, Tokens: sharedTokens}, {ID: uint64(seq) << 32, Tokens: ownTokens}}
			f.step(Arrive{&Request{
				ID: id, Organisation: fmt.Sprint("org", session%5), Route: draft, Service: model, Deadline: now.Add(15 * time.Second),
				Prompt: Prompt{Tokens: sharedTokens + ownTokens, MaxOutput: 20, Parts: parts},
			}})
			s, ok := f.last[id].(Send)
			if !ok {
				continue
			}
			kept := caches[s.Upstream.Addr].cachedPrefix(parts[:1])
			if s.FetchFrom != "" {
				kept = max(kept, caches[s.FetchFrom].cachedPrefix(parts[:1]))
			}
			if last := usedAt[session]; !last.IsZero() && now.Sub(last) < reuseWindow {
				reusedTokens += sharedTokens
				rereadTokens += sharedTokens * (1 - kept)
			}
			usedAt[session] = now
			caches[s.Upstream.Addr].recordUse(now, parts)
			runs = append(runs, run{f, id, s, now.Add(prefillDuration)})
		}
	}
	return float64(rereadTokens) / float64(reusedTokens)
}

// Shared parts must rarely be read again on full engines, whatever the number of routers.
// Routers that assumed an engine keeps everything it ever read, and copied from the first
// engine that had read a part, let 0.145 to 0.149 of the tokens be read again. The limit
// is half of that.
func TestSharedPartsAreRarelyReread(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{1, 4, 16} {
		fraction := rereadFraction(t, routers, 16, 160, 40*time.Second)
		g.Expect(fraction).To(BeNumerically("<", 0.0725), "%d routers", routers)
	}
}
