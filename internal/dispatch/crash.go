package dispatch

import "github.com/jujubeford/jujubeford/internal/core"

// brokenConnection reports whether an attempt's connection broke after the request was
// sent, as it does when the upstream crashes.
func brokenConnection(e Failed) bool {
	return e.MayHaveRun && !e.Local && (e.Kind == core.FailReset || e.Kind == core.FailTruncated)
}

// probeIfBroken probes the upstream of an attempt whose connection broke, unless it is
// being probed already.
func (s *State) probeIfBroken(r *request, e Failed) {
	if u := r.upstream; brokenConnection(e) && !s.probing[u.ID] {
		s.probing[u.ID] = true
		s.emit(Probe{ID: r.ID, Upstream: u.Instance})
	}
}

func (s *State) handleProbe(e Probed) {
	delete(s.probing, e.Upstream.ID)
}
