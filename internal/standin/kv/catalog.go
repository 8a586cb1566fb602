package kv

import (
	"maps"
	"sort"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

// catalog is the instance list: current is the truth, visible is what callers
// see some time later.
type catalog struct {
	lag     time.Duration
	frozen  bool
	current map[string]store.Instance
	version uint64

	visible        map[string]store.Instance
	visibleVersion uint64
	index          uint64
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

// changeCatalog changes the truth and shows it after the lag.
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

// publish shows a version of the list unless a newer one is shown or the list
// is frozen; s.mu is held.
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

// configureList sets the lag of the list and whether it is frozen.
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

// instances reads the visible list, in order.
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
