package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/store"
)

const (
	// watchDuration is how long the store may hold a watch open, and firstWatchDuration that
	// of the first watching router of a failure domain, whose answers show the others that
	// they are current. They bound for how long a connection that has gone silent hides
	// changes.
	watchDuration      = 2 * time.Second
	firstWatchDuration = 900 * time.Millisecond
	// regainWait is how long the store may hold the first watch after an outage open. The
	// end of the outage must not be taken for that of the next change.
	regainWait = 50 * time.Millisecond
	// watchSlack is the additional time that the answer of a watch may take.
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds the call for a page of a list. It doubles each time that the page does
	// not arrive in time, up to maxListTimeout.
	listTimeout    = 1500 * time.Millisecond
	maxListTimeout = 6 * time.Second
	// refreshInterval is the time between two looks at what operators have written while a
	// list goes on.
	refreshInterval = 500 * time.Millisecond
	// storeBackoff is the pause after the first failed call on the store. It doubles
	// with each further failure, up to maxStoreBackoff.
	storeBackoff    = 100 * time.Millisecond
	maxStoreBackoff = time.Second
	// watchPause is the pause after a watch that returned changes, so that a burst of
	// changes is read with few calls.
	watchPause = 250 * time.Millisecond
	// watchCheckInterval is how often a router that does not watch the store checks
	// whether it has to.
	watchCheckInterval = 100 * time.Millisecond
	// relistPause is the pause before all keys are listed again because the store does not
	// have the changes after a position.
	relistPause = 50 * time.Millisecond
	// allKeys is the prefix of all keys. Watching everything takes one call where
	// watching each prefix would take three.
	allKeys = ""
	// noKeys is a prefix that no key has.
	noKeys = "jujubeford/none/"
)

// followStore keeps the mirror of the store's keys up to date until ctx ends.
func (g *Gateway) followStore(ctx context.Context) {
	backoff := storeBackoff
	listed, late, watches := false, false, false
	for ctx.Err() == nil {
		var err error
		if must := g.peers.mustWatch(time.Now()); listed && must != watches {
			watches = must
			logs.Info("watch-role", "Store: whether this router watches the store itself changed.", "watches", watches, "staleness", g.staleness(time.Now()))
		}
		switch {
		case !listed:
			err = g.listKeys(ctx)
		case watches:
			late, err = g.watchInTime(ctx, late)
		default:
			// Peers of this failure domain watch the store and pass changes on.
			sleep(ctx, watchCheckInterval)
			continue
		}
		switch {
		case err == nil:
			listed, backoff = true, storeBackoff
			continue
		case errors.Is(err, store.ErrCompacted):
			logs.Info("compacted", "Store: changes are not available, listing all keys again.", "after", g.position(), "err", err)
			listed = false
			sleep(ctx, relistPause)
			continue
		case ctx.Err() != nil:
			return
		}
		g.markStoreLost(err)
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// replaceMirror replaces the mirror with a list of all keys. The caller holds mirrorMu.
func (g *Gateway) replaceMirror(now time.Time, entries []store.Entry, at store.Position) (changed bool) {
	before := g.mirror.Position()
	changed = g.mirror.Replace(now, entries, at)
	if before.Era != 0 && g.mirror.Position().Era != before.Era {
		klog.InfoS("Store: restored from an older copy.", "before", before, "after", at, "retained", g.mirror.RetainedCount())
	}
	return changed
}

// watchInTime is watchKeys, with a small call before it if the last watch was late. If the
// store answers that one and the watch is late again, its answer is taken for too large, and
// ErrCompacted returned.
func (g *Gateway) watchInTime(ctx context.Context, late bool) (lateAgain bool, err error) {
	if late {
		if err := g.probeStore(ctx); err != nil {
			return true, err
		}
	}
	err = g.watchKeys(ctx)
	if !errors.Is(err, store.ErrLate) {
		return false, err
	}
	if late {
		return false, errors.WithMessage(store.ErrCompacted, "the store answers, but not to a watch")
	}
	return true, err
}

// probeStore makes a call that the store answers with no keys.
func (g *Gateway) probeStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, regainWait+watchSlack)
	defer cancel()
	_, err := g.options.Feed.Page(ctx, noKeys, "")
	g.metrics.recordStoreCall(callList, err)
	return err
}

// watchKeys waits for the next changes and applies them to the mirror.
func (g *Gateway) watchKeys(ctx context.Context) error {
	wait := watchDuration
	if g.peers.isFirstWatcher() {
		wait = firstWatchDuration
	}
	if g.isStoreLost() {
		wait = regainWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	began := time.Now()
	changes, at, err := g.options.Feed.Changes(ctx, allKeys, g.position(), wait)
	g.metrics.recordStoreCall(callWatch, err)
	if err != nil {
		return err
	}
	now := time.Now()
	g.mirrorMu.Lock()
	g.markStoreFound(now)
	if now.Sub(began) >= heldAnswer {
		g.mirror.MarkCurrent(now)
	}
	for i := range changes {
		g.dropUnused(&changes[i].Entry)
	}
	changed := g.mirror.Apply(now, changes, at)
	g.mirror.MarkCurrent(now)
	g.mirrorMu.Unlock()
	if changed {
		g.applyMirror()
		sleep(ctx, watchPause)
	}
	return nil
}

// position is the position of the store that the mirror has reached.
func (g *Gateway) position() store.Position {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	return g.mirror.Position()
}

// lastChange is the position of the last change in the mirror.
func (g *Gateway) lastChange() store.Position {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	return g.mirror.LastChange()
}

func (g *Gateway) markStoreLost(err error) {
	g.mirrorMu.Lock()
	changed := g.mirror.MarkStoreUnavailable()
	at := g.mirror.Position()
	g.mirrorMu.Unlock()
	if changed {
		klog.InfoS("Store: connection lost.", "err", err, "position", at)
	}
}

// markStoreFound records that the store has answered. The caller holds mirrorMu.
func (g *Gateway) markStoreFound(now time.Time) {
	if g.mirror.MarkStoreAvailable(now) {
		klog.InfoS("Store: connection regained.", "position", g.mirror.Position())
	}
}

// expire drops entries whose grace period after their removal from the store has ended.
func (g *Gateway) expire(now time.Time) {
	g.mirrorMu.Lock()
	expired := g.mirror.RemoveExpired(now)
	departuresEnded := g.mirror.ExpireDepartures(now)
	g.mirrorMu.Unlock()
	evacuationsEnded := g.expireEvacuations(now)
	for _, r := range expired {
		logs.Info("entry-deleted", "Directory: removed entry deleted.", "key", r.Key, "revision", r.Revision, "retained", now.Sub(r.At), "inOutage", r.InOutage)
	}
	if len(expired) > 0 || departuresEnded || evacuationsEnded {
		g.applyMirror()
	}
}

// applyMirror decodes the mirror's entries and passes them to the dispatcher and the
// peers. A configuration is never replaced by an older one.
func (g *Gateway) applyMirror() {
	g.mirrorMu.Lock()
	defer g.mirrorMu.Unlock()
	directory := g.options.Directory
	if e, ok := g.mirror.Get(directory.ConfigKey()); ok {
		at := store.Position{Era: g.mirror.Position().Era, Revision: e.Index}
		if at != g.tableDecoded {
			g.tableDecoded = at
			g.applyTable(e.Value, at)
		}
	}
	list := g.decodeInstances(g.mirror.Entries(directory.InstancePrefix()))
	since, _ := g.mirror.LastBatch()
	g.step(dispatch.InstancesChanged{Instances: list, Since: since, Evacuated: g.updateEvacuations(time.Now(), list)})
	g.peers.setRegistered(g.mirror.Entries(routerPrefix))
	g.step(dispatch.FleetChanged{
		Routers: g.peers.fleetSize(), AggregatedByDomain: g.peers.usesRelays(),
		Self: g.options.PeerListen, Registered: g.peers.registered(), Domains: g.peers.registeredDomains(),
	})
	g.peers.wakeSender()
	if g.mirror.Position().Revision > 0 && !g.listed.Swap(true) {
		klog.InfoS("Directory: first list of upstreams applied.", "upstreams", len(list), "position", g.mirror.Position())
	}
}

// decodedInstance is the result of decoding an upstream's entry that was written at a
// position.
type decodedInstance struct {
	at       store.Position
	instance dispatch.Instance
	valid    bool
	// departed means that the entry comes from an older copy and its instance has left.
	departed bool
}

// decodeInstances decodes the entries of upstreams; those that have not changed since the
// last call are not decoded again. The caller holds mirrorMu.
func (g *Gateway) decodeInstances(entries []store.Entry) []dispatch.Instance {
	list := make([]dispatch.Instance, 0, len(entries))
	decoded := make(map[string]decodedInstance, len(entries))
	era := g.mirror.Position().Era
	for _, e := range entries {
		d, known := g.decoded[e.Key]
		at := store.Position{Era: era, Revision: e.Index}
		if !known || d.at != at {
			in, err := g.options.Directory.Instance(e.Key, e.Value)
			if err != nil {
				logs.Info("skipped", "Store: invalid entry skipped.", "key", e.Key, "position", at, "err", err)
			}
			before := d.instance
			if known && d.at.Era != era && before.Draining && dispatch.SameStart(before, in) {
				// The restored store has an older entry, until the upstream writes it again.
				in.Draining, in.Departed = true, true
			}
			if err == nil {
				g.readTemperature(&in, before, at)
			}
			in.Entry = entryNumber(at)
			d = decodedInstance{at: at, instance: in, valid: err == nil}
			if known && in.Draining && !before.Draining {
				logs.Info("entry-draining", "Directory: upstream is leaving.", "upstream", in.ID, "addr", in.Addr, "position", at)
			}
		}
		if departed := g.mirror.Departed(e.Key); departed != d.departed {
			d.departed = departed
			logs.Info("entry-departed", "Directory: whether an upstream that the restored store has again has left.", "upstream", d.instance.ID, "addr", d.instance.Addr, "left", departed, "position", at)
		}
		decoded[e.Key] = d
		if d.valid {
			in := d.instance
			in.Departed = in.Departed || d.departed
			list = append(list, in)
		}
	}
	g.decoded = decoded
	return list
}

// entryNumber returns the number by which routers name an entry to each other.
func entryNumber(at store.Position) uint64 { return at.Era<<48 ^ at.Revision }

// tableEntry is the entry of a configuration.
type tableEntry struct {
	value []byte
	at    store.Position
}

// applyTable puts a configuration in force if it is newer than the current one: of a higher
// version, or other content under the same version in a later era of the store. The caller
// holds mirrorMu.
func (g *Gateway) applyTable(value []byte, at store.Position) {
	old := g.table.Load()
	if old != nil && bytes.Equal(value, g.inForce.value) {
		return
	}
	t, err := g.options.Directory.Table(value)
	if err != nil {
		logs.Info("skipped", "Store: invalid entry skipped.", "key", g.options.Directory.ConfigKey(), "position", at, "err", err)
		return
	}
	if !t.Supersedes(old, at.Era > g.inForce.at.Era) {
		logs.Info("config-kept", "Config: the version in force is kept, the store has an older one.", "version", old.Version, "stored", t.Version, "position", at)
		return
	}
	g.noteUnknownRegions(t)
	g.logUnreadableBounds(t)
	g.inForce = tableEntry{value, at}
	g.table.Store(t)
	g.step(dispatch.TableChanged{Table: t})
	klog.InfoS("Config: new version in force.", "version", t.Version, "before", tableVersion(old), "position", at)
}

const (
	// routerPrefix is the prefix of the keys under which routers register themselves.
	routerPrefix = "jujubeford/routers/"
	// registerTTL is the time after which a registration expires unless it is renewed.
	// A router that is gone without notice is found by its silence before that.
	registerTTL = 12 * time.Second
	// registerInterval is the time between two renewals.
	registerInterval = 4 * time.Second
	// registerTimeout bounds one call on the store.
	registerTimeout = time.Second
)

// registration is this router's registration in the store.
type registration struct {
	// lease is empty if there is none.
	lease store.LeaseID
	// keys is the number of keys that earlier leases hold. A restored store may have such
	// a key with a lease that cannot be told from another one's; both end by themselves.
	keys int
}

// keepRegistered keeps this router registered in the store until ctx ends. When the
// router stops, it removes the registration at once.
func (g *Gateway) keepRegistered(ctx context.Context) {
	var r registration
	for {
		if err := g.renewRegistration(ctx, &r); err != nil && ctx.Err() == nil {
			logs.Info("register", "Store: registering this router failed.", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-g.stop:
			g.unregister(r.lease)
			return
		case <-time.After(registerInterval):
		}
	}
}

// renewRegistration renews the lease of a registration, or grants a new one and registers
// the router with it.
func (g *Gateway) renewRegistration(ctx context.Context, r *registration) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if r.lease != "" {
		err := g.options.LeaseStore.Renew(ctx, r.lease)
		g.metrics.recordStoreCall(callRenew, err)
		if !errors.Is(err, store.ErrLeaseLost) {
			// Without an answer the lease may still be valid; the next renewal will
			// tell.
			return err
		}
		r.lease = ""
	}
	lease, err := g.options.LeaseStore.Grant(ctx, registerTTL)
	g.metrics.recordStoreCall(callGrant, err)
	if err != nil {
		return errors.Wrap(err, "grant lease for registration")
	}
	acquired, err := g.options.LeaseStore.Acquire(ctx, g.peers.registrationKey(r.keys), g.peers.registrationValue(), lease)
	if err == nil && !acquired {
		r.keys++
		acquired, err = g.options.LeaseStore.Acquire(ctx, g.peers.registrationKey(r.keys), g.peers.registrationValue(), lease)
	}
	g.metrics.recordStoreCall(callAcquire, err)
	switch {
	case err != nil:
		return errors.Wrap(err, "acquire registration key")
	case !acquired:
		return errors.New("acquire registration key: another lease holds it")
	}
	r.lease = lease
	return nil
}

func (g *Gateway) unregister(lease store.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	err := g.options.LeaseStore.Revoke(ctx, lease)
	g.metrics.recordStoreCall(callRevoke, err)
	if err != nil {
		logs.Info("register", "Store: removing this router's registration failed.", "err", err)
	}
}

// tableVersion is a table's version, 0 if there is none.
func tableVersion(t *routing.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}
