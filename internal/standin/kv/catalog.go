package kv

import (
	"maps"
	"sort"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// catalog is the instance list. A change is made to current at once and copied to
// visible, from which calls are answered, after lag. While the list is frozen,
// visible doesn't change.
type catalog struct {
	lag     time.Duration
	frozen  bool
	current map[string]store.Instance
	version uint64

	visible        map[string]store.Instance
	visibleVersion uint64
	// index is the modify index of the last change of visible.
	index uint64
}

func newCatalog(lag time.Duration) catalog {
	return catalog{lag: lag, current: make(map[string]store.Instance), index: 1}
}

// register adds or replaces an instance.
func (s *state) register(instance store.Instance) {
	s.changeCatalog(func(current map[string]store.Instance) { current[instance.ID] = instance })
}

// deregister removes an instance.
func (s *state) deregister(id string) {
	s.changeCatalog(func(current map[string]store.Instance) { delete(current, id) })
}

// setInstances replaces the whole list.
func (s *state) setInstances(list []store.Instance) {
	s.changeCatalog(func(current map[string]store.Instance) {
		clear(current)
		for _, instance := range list {
			current[instance.ID] = instance
		}
	})
}

// changeCatalog applies a change to the current list and publishes the result
// after the lag.
func (s *state) changeCatalog(change func(map[string]store.Instance)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.catalog.current)
	s.catalog.version++
	if s.catalog.lag == 0 {
		s.publish(maps.Clone(s.catalog.current), s.catalog.version)
		return
	}
	snapshot, version := maps.Clone(s.catalog.current), s.catalog.version
	time.AfterFunc(s.catalog.lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish(snapshot, version)
	})
}

// publish makes a version of the list visible, unless the list is frozen or
// already shows that version or a newer one; s.mu is held.
func (s *state) publish(list map[string]store.Instance, version uint64) {
	if s.catalog.frozen || version <= s.catalog.visibleVersion {
		return
	}
	s.catalog.visible = list
	s.catalog.visibleVersion = version
	s.index++
	s.catalog.index = s.index
	s.wake(catalogTopic)
}

// configureList sets the lag of the list and whether it is frozen. Ending the
// freeze publishes the current list at once.
func (s *state) configureList(lag time.Duration, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	thawed := s.catalog.frozen && !frozen
	s.catalog.lag = lag
	s.catalog.frozen = frozen
	if thawed {
		s.publish(maps.Clone(s.catalog.current), s.catalog.version)
	}
}

// instances returns the visible list, sorted by id, and its index.
func (s *state) instances() ([]store.Instance, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]store.Instance, 0, len(s.catalog.visible))
	for _, instance := range s.catalog.visible {
		list = append(list, instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, s.catalog.index
}

// catalogChangedSince reports whether the visible list changed after index.
func (s *state) catalogChangedSince(index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.index > index
}
