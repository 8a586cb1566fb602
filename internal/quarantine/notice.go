package quarantine

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

func crashNotice(organisation string, fingerprint Fingerprint, c crash) *wire.CrashNotice {
	return &wire.CrashNotice{
		Organisation: organisation, Fingerprint: fingerprint[:],
		Upstream: c.upstream, ObservedUnixMs: uint64(c.at.UnixMilli()),
	}
}

func releaseNotice(organisation string, fingerprint Fingerprint, at time.Time) *wire.CrashNotice {
	return &wire.CrashNotice{
		Organisation: organisation, Fingerprint: fingerprint[:],
		ObservedUnixMs: uint64(at.UnixMilli()), Released: true,
	}
}

// broadcast returns the effects that send a notice to every peer.
func (s *State) broadcast(n *wire.CrashNotice) []core.Effect {
	effects := make([]core.Effect, 0, len(s.peers))
	for _, peer := range s.peers {
		effects = append(effects, sendNotice(peer, n))
	}
	return effects
}

// syncPeer returns the effects that send all unexpired crashes and releases to a
// router, in a fixed order.
func (s *State) syncPeer(now time.Time, to core.RouterID) []core.Effect {
	var effects []core.Effect
	for _, organisation := range s.organisationNames() {
		for _, e := range s.entriesByAge(organisation) {
			for _, n := range e.notices(now) {
				effects = append(effects, sendNotice(to, n))
			}
		}
	}
	return effects
}

// notices returns the notices of an entry's unexpired release and crashes.
func (e *entry) notices(now time.Time) []*wire.CrashNotice {
	var out []*wire.CrashNotice
	if withinTTL(now, e.released) {
		out = append(out, releaseNotice(e.organisation, e.fingerprint, e.released))
	}
	for _, c := range e.crashes {
		if withinTTL(now, c.at) {
			out = append(out, crashNotice(e.organisation, e.fingerprint, c))
		}
	}
	return out
}

func sendNotice(to core.RouterID, n *wire.CrashNotice) core.Effect {
	return core.SendPeer{To: to, Message: &wire.Envelope{Body: &wire.Envelope_CrashNotice{CrashNotice: n}}}
}
