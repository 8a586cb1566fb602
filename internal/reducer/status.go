package reducer

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/owner"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// minPause is the time between two steps from which the process counts as
// paused. The runtime steps the reducer at least once a second.
const minPause = 3 * time.Second

// RouterState is the state of a router as this router knows it.
type RouterState string

// The states of a router.
const (
	RouterAlive   RouterState = "alive"
	RouterSuspect RouterState = "suspect"
	RouterLeaving RouterState = "leaving"
	RouterDead    RouterState = "dead"
)

// Status describes the fleet as one router knows it, in the form of /v1/status.
type Status struct {
	Router core.RouterID `json:"router"`
	Domain string        `json:"domain"`
	// Taken is the time of this status, Started the time of this incarnation's
	// first step.
	Taken    time.Time `json:"taken"`
	Started  time.Time `json:"started"`
	Ready    bool      `json:"ready"`
	Draining bool      `json:"draining"`
	// Pause is the last pause of this process; nil if there was none.
	Pause      *Pause `json:"pause,omitempty"`
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	// Requests is the number of requests accepted here that have not ended.
	Requests int `json:"requests"`
	// Routers are all known incarnations, this one first.
	Routers []RouterStatus `json:"routers"`
	// Upstreams are all listed upstreams. The slots of upstreams that other
	// routers own are not known here.
	Upstreams []UpstreamStatus `json:"upstreams"`
	// Backlog lists the organisations that wait at this router as an owner.
	Backlog []owner.Backlog `json:"backlog"`
}

// Pause is a period in which the process took no step, for example because its
// instance was suspended.
type Pause struct {
	Until time.Time `json:"until"`
	ForMS int64     `json:"for_ms"`
}

// RouterStatus describes one incarnation of a router.
type RouterStatus struct {
	ID         core.RouterID `json:"id"`
	Name       string        `json:"name"`
	Domain     string        `json:"domain"`
	Admin      string        `json:"admin"`
	State      RouterState   `json:"state"`
	Generation uint64        `json:"generation"`
	// LastHeard is when the router was last heard of directly, AgeMS how long ago.
	// Both are omitted if it is known only through other routers.
	LastHeard *time.Time `json:"heard,omitempty"`
	AgeMS     *int64     `json:"age_ms,omitempty"`
	// ReplacedBy is another incarnation of the same name that is alive, if
	// there is one.
	ReplacedBy core.RouterID `json:"replaced_by,omitempty"`
}

// UpstreamStatus describes an upstream in the instance list.
type UpstreamStatus struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Domain  string        `json:"domain"`
	Owner   core.RouterID `json:"owner"`
	Leaving bool          `json:"leaving"`
	// Owned is the status reported by the owner; nil if this router is not the
	// owner and the owner was not asked or did not answer.
	Owned *owner.UpstreamStatus `json:"owned,omitempty"`
}

// Status returns a copy of the state that operators see, as of the last step.
func (s *State) Status() Status {
	now := s.now
	out := Status{
		Router: s.options.Self.ID, Domain: s.options.Self.Domain, Taken: now, Started: s.steps.started,
		Ready: s.ready, Draining: !s.drainSince.IsZero(), Pause: s.steps.pause,
		Generation: s.generation, Digest: s.rollout.Digest(), Requests: s.entry.Requests(),
		Routers: s.routers(now), Backlog: s.owner.Backlogs(now),
	}
	granted := make(map[string]*owner.UpstreamStatus)
	for _, u := range s.owner.UpstreamStatuses(now) {
		granted[u.ID] = &u
	}
	for _, u := range s.view.All() {
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			ID: u.ID, Service: u.Service, Domain: u.Domain, Owner: s.view.Owner(u.ID),
			Leaving: u.State != core.UpstreamUp || s.owner.IsLeaving(now, u.ID), Owned: granted[u.ID],
		})
	}
	return out
}

func (s *State) routers(now time.Time) []RouterStatus {
	known := s.members.All()
	current := make(map[string]core.RouterID, len(known))
	for _, p := range known {
		if _, have := current[p.Name]; !have && routerState(p.State) == RouterAlive {
			current[p.Name] = p.ID
		}
	}
	out := make([]RouterStatus, 0, len(known))
	for _, p := range known {
		r := RouterStatus{
			ID: p.ID, Name: p.Name, Domain: p.Domain, Admin: p.AdminAddr,
			State: routerState(p.State), Generation: p.Generation,
		}
		if p.ID == s.options.Self.ID {
			p.LastHeard = now
		}
		if !p.LastHeard.IsZero() {
			heard, age := p.LastHeard, now.Sub(p.LastHeard).Milliseconds()
			r.LastHeard, r.AgeMS = &heard, &age
		}
		if id := current[p.Name]; id != p.ID {
			r.ReplacedBy = id
		}
		out = append(out, r)
	}
	return out
}

func routerState(s wire.MemberState) RouterState {
	switch s {
	case wire.MemberState_MEMBER_SUSPECT:
		return RouterSuspect
	case wire.MemberState_MEMBER_LEAVING:
		return RouterLeaving
	case wire.MemberState_MEMBER_DEAD:
		return RouterDead
	default:
		return RouterAlive
	}
}

// stepTimes records when the reducer was stepped, to detect pauses of the
// process.
type stepTimes struct {
	started, last time.Time
	pause         *Pause
}

// record records the time of a step and reports whether the step ends a pause.
func (s *stepTimes) record(now time.Time) (resumed bool) {
	if s.started.IsZero() {
		s.started = now
	} else if gap := now.Sub(s.last); gap >= minPause {
		s.pause = &Pause{Until: now, ForMS: gap.Milliseconds()}
		resumed = true
	}
	s.last = now
	return resumed
}
