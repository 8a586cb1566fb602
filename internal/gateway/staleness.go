package gateway

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/relay"
	"github.com/jujubeford/jujubeford/store"
)

// A router that does not watch the store relies on others that do. What it has to know within a
// bound (that an upstream leaves, a key was withdrawn, a failure domain is evacuated) must reach
// it within that bound also if all of these are killed, frozen or cut off. Each router therefore
// tells for how long its copy of the store's keys is not known to be current, and one whose copy
// has not been confirmed for maxStaleness watches the store itself. docs/design/store-news.md
// adds up the times.
const (
	// maxStaleness is the staleness from which a router watches the store itself. A report
	// about the end of a watch of firstWatchDuration, begun after watchPause, arrives sooner.
	maxStaleness = 1400 * time.Millisecond
	// takeoverStep is how much later each next relay.WatchersPerDomain routers of a failure
	// domain do: the first of them to get an answer spare the others, and while the store is
	// silent few have begun when the watching ones find it lost.
	takeoverStep = 200 * time.Millisecond
	// heldAnswer is the time from which the answer to a watch was held back by the store until
	// something changed: its changes are new.
	heldAnswer = 200 * time.Millisecond
	// defaultDrainTime is the DrainTime of options that have none.
	defaultDrainTime = 2 * time.Second
	// drainReserve is how long before the end of an upstream's DrainTime the last request is
	// sent to it: a tick that deletes its entry, and the way of the request.
	drainReserve = 300 * time.Millisecond
)

// maxRetention is how long the entry of an upstream may be retained after its removal.
func (o *Options) maxRetention() time.Duration {
	drain := o.DrainTime
	if drain <= 0 {
		drain = defaultDrainTime
	}
	return max(0, drain-drainReserve)
}

// staleness is the time since which this router's copy of the store's keys is not known to be
// current, at least a millisecond; 0 if there is no copy.
func (g *Gateway) staleness(now time.Time) time.Duration {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	return g.stalenessLocked(now)
}

// stalenessLocked is staleness. The caller holds mirrorMu.
func (g *Gateway) stalenessLocked(now time.Time) time.Duration {
	at := g.mirror.CurrentAt()
	if at.IsZero() {
		return 0
	}
	return max(time.Millisecond, now.Sub(at))
}

// mustTakeOver reports whether a router of the given staleness has to watch the store because
// those that it relies on are silent. If they say that they don't reach the store, others are
// chosen in order; if they list its keys, this router would not be done sooner. The caller
// holds mu.
func (p *peers) mustTakeOver(staleness time.Duration) bool {
	if staleness < maxStaleness {
		return false
	}
	earlier := 0
	for _, other := range p.known {
		if other.domain != p.g.options.Domain {
			continue
		}
		if other.live && (other.storeLost || other.listing) {
			return false
		}
		if other.addr < p.g.options.PeerListen {
			earlier++
		}
	}
	if len(p.known) > maxDirectPeers {
		earlier = p.relay.Rank()
	}
	return staleness >= maxStaleness+time.Duration(earlier/relay.WatchersPerDomain)*takeoverStep
}

// confirmCurrent records that this router's copy is as current as that of a datagram's sender,
// if it has the sender's last change.
func (g *Gateway) confirmCurrent(now time.Time, lastChange store.Position, d *datagram) {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	own := g.mirror.LastChange()
	if lastChange.Revision == 0 || own.Era != lastChange.Era || own.Before(lastChange) {
		return
	}
	if d.staleness > 0 {
		g.mirror.MarkCurrent(now.Add(-d.staleness))
	} else if !d.storeLost {
		// Earlier builds do not say.
		g.mirror.MarkCurrent(now)
	}
}

// ages is what a copy of the store's keys says of times, as durations until now in milliseconds,
// 0 if not known.
type ages struct {
	// Staleness is that of the copy.
	Staleness uint64 `json:",omitempty"`
	// ChangesMadeIn is the time within which the changes after the revision ChangedAfter were
	// made.
	ChangesMadeIn uint64 `json:",omitempty"`
	ChangedAfter  uint64 `json:",omitempty"`
	// RetainedFor holds for how much longer removed entries are retained.
	RetainedFor map[string]uint64 `json:",omitempty"`
}

// ages returns what a copy of this router's keys says of times. The caller holds mirrorMu.
func (g *Gateway) ages(now time.Time) ages {
	a := ages{Staleness: uint64(g.stalenessLocked(now).Milliseconds())}
	if since, after := g.mirror.LastBatch(); !since.IsZero() {
		a.ChangesMadeIn, a.ChangedAfter = toMilliseconds(now.Sub(since)), after
	}
	for key, left := range g.mirror.Retained(now) {
		if a.RetainedFor == nil {
			a.RetainedFor = make(map[string]uint64)
		}
		a.RetainedFor[key] = toMilliseconds(left)
	}
	return a
}

// retained returns RetainedFor as durations.
func (a ages) retained() map[string]time.Duration {
	left := make(map[string]time.Duration, len(a.RetainedFor))
	for key, ms := range a.RetainedFor {
		left[key] = fromMilliseconds(ms)
	}
	return left
}

// markCurrentBefore records, before the changes of a peer's copy are applied, until when this
// router's copy was current without them. The caller holds mirrorMu.
func (g *Gateway) markCurrentBefore(now time.Time, k keyUpdate) {
	if k.ChangesMadeIn > 0 && g.mirror.LastChange().Revision >= k.ChangedAfter {
		g.mirror.MarkCurrent(now.Add(-fromMilliseconds(k.ChangesMadeIn)))
	}
}

// markCurrentAsOf records that a peer's copy has been applied. The caller holds mirrorMu.
func (g *Gateway) markCurrentAsOf(now time.Time, era uint64, k keyUpdate) {
	if k.Staleness > 0 && g.mirror.Position().Era == era {
		g.mirror.MarkCurrent(now.Add(-fromMilliseconds(k.Staleness)))
	}
}

// toMilliseconds encodes a time that is known, so that it is not 0.
func toMilliseconds(d time.Duration) uint64 {
	return uint64(max(1, d.Milliseconds()))
}

// fromMilliseconds decodes a time, which is bounded so that it fits a time.Duration.
func fromMilliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, maxMillisecondsAge)) * time.Millisecond
}
