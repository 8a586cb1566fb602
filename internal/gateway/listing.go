package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/store"
)

// maxUnusedBytes is the size up to which the value of an entry is kept that this router has no
// use for, in bytes. Entries of upstreams have some 200.
const maxUnusedBytes = 4 << 10

// listing is a list of all keys that is being read page by page. What has been read is kept when
// a page fails, so that a list of any size ends. It belongs to followStore.
type listing struct {
	// began is when the first page was requested, and at its position; zero before.
	began time.Time
	at    store.Position
	// next is the key after which the next page begins, entries those of the pages before.
	next    string
	entries []store.Entry
	// late counts the calls for the next page that were not answered in time.
	late int
	// refreshed is when the keys of operators were last read.
	refreshed time.Time
}

// timeout is how long the next page may take.
func (l *listing) timeout() time.Duration {
	return min(listTimeout<<min(l.late, 8), maxListTimeout)
}

// listKeys replaces the mirror with a list of all keys. It continues the list that an earlier
// call could not finish.
func (g *Gateway) listKeys(ctx context.Context) error {
	l := &g.listing
	if l.began.IsZero() {
		l.began = time.Now()
		if g.position() == (store.Position{}) {
			l.refreshed = l.began // nothing can be applied before the end of the first list
		} else {
			g.isListing.Store(true)
		}
	}
	for {
		if time.Since(l.refreshed) >= refreshInterval {
			// Also if it fails: the list has to go on.
			l.refreshed = time.Now()
			if err := g.refreshOperators(ctx); err != nil {
				return err
			}
		}
		page, err := g.readPage(ctx, allKeys, l.next, l.timeout())
		if err != nil {
			if errors.Is(err, context.DeadlineExceeded) {
				l.late++
			}
			return err
		}
		l.late = 0
		if l.at == (store.Position{}) {
			l.at = page.At
		}
		if page.At.Era != l.at.Era {
			g.endListing()
			return errors.WithMessage(store.ErrCompacted, "the store was restored while its keys were listed")
		}
		l.entries = append(l.entries, page.Entries...)
		if l.next = page.Next; l.next == "" {
			break
		}
		g.applyListed(page)
	}
	now := time.Now()
	g.mirrorMu.Lock()
	g.markStoreFound(now)
	g.replaceMirror(now, l.entries, l.at)
	g.mirror.MarkCurrent(l.began)
	g.mirrorMu.Unlock()
	logs.Info("listed", "Store: all keys listed.", "entries", len(l.entries), "position", l.at, "took", now.Sub(l.began))
	g.endListing()
	g.applyMirror()
	return nil
}

// endListing forgets the list that has been read.
func (g *Gateway) endListing() {
	g.listing = listing{}
	g.isListing.Store(false)
}

// readPage reads a page of a list and drops the values that this router has no use for.
func (g *Gateway) readPage(ctx context.Context, prefix, after string, timeout time.Duration) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err := g.options.Feed.Page(ctx, prefix, after)
	g.metrics.recordStoreCall(callList, err)
	if err != nil && ctx.Err() != nil {
		return store.Page{}, errors.Wrap(ctx.Err(), err.Error())
	}
	for i := range page.Entries {
		g.dropUnused(&page.Entries[i])
	}
	return page, err
}

// refreshOperators reads what operators have written, which must be in force soon also while a
// list goes on.
func (g *Gateway) refreshOperators(ctx context.Context) error {
	for _, prefix := range []string{g.options.Directory.ConfigKey(), g.options.Directory.EvacuationPrefix()} {
		page, err := g.readPage(ctx, prefix, "", listTimeout)
		if err != nil {
			return err
		}
		g.applyListed(page)
	}
	return nil
}

// applyListed applies what is new in a page of a list. What is missing is known only at the end
// of the list.
func (g *Gateway) applyListed(page store.Page) {
	g.mirrorMu.Lock()
	changed := g.mirror.ApplyListed(page.Entries, page.At.Era)
	g.mirrorMu.Unlock()
	if changed {
		g.applyMirror()
	}
}

// dropUnused drops a large value that this router has no use for: another writer may write any
// number of them, and neither routers nor their peers have memory and time for all.
func (g *Gateway) dropUnused(e *store.Entry) {
	directory := g.options.Directory
	if len(e.Value) <= maxUnusedBytes || e.Key == directory.ConfigKey() {
		return
	}
	var err error
	if strings.HasPrefix(e.Key, directory.InstancePrefix()) {
		if _, err = directory.Instance(e.Key, e.Value); err == nil {
			return
		}
	}
	logs.Info("value-dropped", "Store: large value that is not used dropped.", "key", e.Key, "bytes", len(e.Value), "revision", e.Index, "err", err)
	e.Value = nil
}
