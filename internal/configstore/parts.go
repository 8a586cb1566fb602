package configstore

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/store"
)

// listParts returns the stored parts and manifests by digest.
func (s *submitter) listParts() (map[string]store.Entry, error) {
	entries, err := s.store.List(s.ctx, PartPrefix)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, errors.Wrap(err, "list the parts of the configuration")
	}
	stored := make(map[string]store.Entry, len(entries))
	for _, entry := range entries {
		stored[strings.TrimPrefix(entry.Key, PartPrefix)] = entry
	}
	return stored, nil
}

// writeParts ensures that all parts are stored and that no pending delete can
// remove them.
func (s *submitter) writeParts(parts []config.Part, current snapshot, stored map[string]store.Entry) error {
	for _, part := range parts {
		if err := s.writePart(part, current, stored[part.Digest]); err != nil {
			return errors.Wrapf(err, "write part %s", part.Digest)
		}
	}
	return nil
}

// writePart writes one part, unless it is safely stored already. entry is the
// stored entry as last read; zero if there was none.
func (s *submitter) writePart(part config.Part, current snapshot, entry store.Entry) error {
	var lastErr error
	for range maxWriteAttempts {
		if safelyStored(part, current, entry) {
			return nil
		}
		ok, err := s.store.CAS(s.ctx, PartPrefix+part.Digest, part.Data, entry.Index)
		if ok && err == nil {
			return nil
		}
		if errors.Is(err, store.ErrTooLarge) {
			return err
		}
		if err != nil {
			lastErr = err
			s.sleep(s.ctx, writeRetryDelay)
		}
		latest, err := s.store.Get(s.ctx, PartPrefix+part.Digest)
		switch {
		case err == nil:
			entry = latest
		case errors.Is(err, store.ErrNotFound):
			entry = store.Entry{}
		default:
			lastErr = err
		}
	}
	if lastErr == nil {
		lastErr = errors.New("other writers changed the part at each attempt")
	}
	return lastErr
}

// safelyStored reports whether a stored part can be relied on: it has the right
// content, and it is not marked for deletion at its modify index, so that no
// delete that may be in flight can remove it.
func safelyStored(part config.Part, current snapshot, entry store.Entry) bool {
	if entry.Index == 0 || !bytes.Equal(entry.Value, part.Data) {
		return false
	}
	index, marked := current.deletionIndex(part.Digest)
	return !marked || index != entry.Index
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
