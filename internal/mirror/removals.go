package mirror

import (
	"slices"

	"github.com/jujubeford/jujubeford/store"
)

const (
	// maxRemovalLogBytes bounds the memory of the removal log, in bytes. It holds the removals
	// of some thousand upstreams; a copy that is further behind takes a list instead.
	maxRemovalLogBytes = 64 << 10
	// removalBytes is the memory of a removal besides its key, in bytes.
	removalBytes = 32
)

// removalLog contains the latest removals of the era, for copies that follow a mirror.
// Writes need no log: each entry has the revision of its last one, and earlier values of a
// key are of no use to a copy.
type removalLog struct {
	// revisions contains the revisions of the removals by key, of all removals after start.
	revisions map[string]uint64
	start     uint64
	bytes     int
}

func newRemovalLog(start uint64) removalLog {
	return removalLog{revisions: make(map[string]uint64), start: start}
}

// add records the removal of a key and drops the older half of the log if it is full.
func (l *removalLog) add(key string, revision uint64) {
	revision = max(revision, l.revisions[key])
	l.delete(key)
	l.revisions[key] = revision
	l.bytes += len(key) + removalBytes
	if l.bytes > maxRemovalLogBytes {
		l.dropOldest(maxRemovalLogBytes / 2)
	}
}

// delete forgets the removal of a key that has been written again.
func (l *removalLog) delete(key string) {
	if _, ok := l.revisions[key]; ok {
		delete(l.revisions, key)
		l.bytes -= len(key) + removalBytes
	}
}

// dropOldest drops the oldest removals until the log has at most maxBytes.
func (l *removalLog) dropOldest(maxBytes int) {
	for _, r := range l.after(0) {
		if l.bytes <= maxBytes {
			return
		}
		l.delete(r.Key)
		l.start = max(l.start, r.Index)
	}
}

// after returns the removals after a revision, in their order.
func (l *removalLog) after(revision uint64) (removals []store.Change) {
	for key, r := range l.revisions {
		if r > revision {
			removals = append(removals, store.Change{Entry: store.Entry{Key: key, Index: r}, Deleted: true})
		}
	}
	slices.SortFunc(removals, store.CompareChanges)
	return removals
}
