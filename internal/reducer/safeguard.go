package reducer

import (
	"slices"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// Safeguard is a set of the safeguards below, one bit each. Options.Disable
// selects those to disable. For tests only, which show that their checks detect
// the missing safeguard.
type Safeguard uint32

// The safeguards that can be disabled.
const (
	// ClaimCompare makes the write of a claim fail if another claim is stored.
	ClaimCompare Safeguard = 1 << iota
	// ClaimQuery asks the holder of a claim whether its work was sent.
	ClaimQuery
	// GrantReconciliation frees grants whose release was lost.
	GrantReconciliation
	// FailureDetection removes dead routers from the fleet.
	FailureDetection
	// GenerationGuard rejects configuration generations that are not newer.
	GenerationGuard
	// QuarantineBlock refuses requests that crashed upstreams.
	QuarantineBlock
	// DrainWait keeps a draining router running until its requests have ended.
	DrainWait
	// SentCheck distinguishes work that may have run from work that did not.
	SentCheck
	// LeavingAnnouncement passes on an upstream's own announcement that it is
	// leaving.
	LeavingAnnouncement
	// ListedLeaving uses the leaving state from the instance list.
	ListedLeaving
)

// disabled reports whether a safeguard is disabled.
func (s *State) disabled(m Safeguard) bool { return s.options.Disable&m != 0 }

// filterEvent returns an event as it appears without the disabled safeguards;
// nil if the event is dropped.
func (s *State) filterEvent(ev core.Event) core.Event {
	switch ev := ev.(type) {
	case core.KVResult:
		if s.disabled(ClaimCompare) && ev.Status == core.KVConflict {
			ev.Status = core.KVOK
		}
		return ev
	case core.AttemptFailed:
		ev.Sent = ev.Sent && !s.disabled(SentCheck)
		ev.Leaving = ev.Leaving && !s.disabled(LeavingAnnouncement)
		return ev
	case core.AttemptDone:
		ev.Leaving = ev.Leaving && !s.disabled(LeavingAnnouncement)
		return ev
	case core.Instances:
		return s.filterInstances(ev)
	case core.PeerMessage:
		return s.filterMessage(ev)
	}
	return ev
}

// keepDeadRouters returns the live routers and those that were alive before.
func (s *State) keepDeadRouters(alive []core.Peer) []core.Peer {
	have := make(map[core.RouterID]bool, len(alive))
	for _, p := range alive {
		have[p.ID] = true
	}
	out := slices.Clone(alive)
	for _, p := range s.view.Alive() {
		if !have[p.ID] {
			out = append(out, p)
		}
	}
	return out
}

func (s *State) filterInstances(ev core.Instances) core.Event {
	if !s.disabled(ListedLeaving) {
		return ev
	}
	list := make([]core.Upstream, len(ev.Upstreams))
	for i, u := range ev.Upstreams {
		u.State = core.UpstreamUp
		list[i] = u
	}
	ev.Upstreams = list
	return ev
}

func (s *State) filterMessage(ev core.PeerMessage) core.Event {
	switch m := ev.Message.Body.(type) {
	case *wire.Envelope_ClaimReply:
		if s.disabled(ClaimQuery) {
			ev.Message = &wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: &wire.ClaimReply{
				Key: m.ClaimReply.Key, Nonce: m.ClaimReply.Nonce, State: wire.ClaimState_CLAIM_NEVER_SENT,
			}}}
		}
	case *wire.Envelope_Progress:
		if s.disabled(GrantReconciliation) && !m.Progress.Full {
			return nil
		}
	}
	return ev
}
