package poison

import "time"

const (
	// recentTTL is how long at least a success is remembered, unless there are more than
	// maxRecent.
	recentTTL = time.Minute
	maxRecent = 4096
)

// recentTraits remembers the traits of requests that have succeeded. It has two
// generations, of which the older one is dropped when the newer one is full or old.
type recentTraits struct {
	current, previous map[Trait]struct{}
	since             time.Time
}

func (r *recentTraits) add(now time.Time, t Trait) {
	r.rotate(now)
	r.current[t] = struct{}{}
}

func (r *recentTraits) has(now time.Time, t Trait) bool {
	r.rotate(now)
	_, current := r.current[t]
	_, previous := r.previous[t]
	return current || previous
}

func (r *recentTraits) remove(t Trait) {
	delete(r.current, t)
	delete(r.previous, t)
}

func (r *recentTraits) rotate(now time.Time) {
	if r.current == nil || len(r.current) >= maxRecent || now.Sub(r.since) >= recentTTL {
		r.previous, r.current, r.since = r.current, make(map[Trait]struct{}), now
	}
}
