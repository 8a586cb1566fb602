package relay

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/speed"
)

// speeds is what a router, or all of a failure domain, have measured of upstreams. Only one
// report in a second says it, so it is kept apart from the loads, which each report has.
type speeds map[uint32]speed.Sum

// takeFrom replaces the speeds by those of a report, if it has any, and removes them there.
func (s *speeds) takeFrom(r *dispatch.Report) {
	if r.Speeds != nil {
		*s, r.Speeds = r.Speeds, nil
	}
}

func (s speeds) add(o speeds) {
	for run, sum := range o {
		known := s[run]
		known.Add(sum)
		s[run] = known
	}
}

// due reports whether a sum has to say again what was measured, and notes that it does.
func due(now time.Time, saidAt *time.Time) bool {
	if now.Sub(*saidAt) < speed.ReportInterval {
		return false
	}
	*saidAt = now
	return true
}

// memberSpeeds adds up what the routers measured that report to this one.
func (s *State) memberSpeeds() speeds {
	sum := make(speeds)
	for _, m := range s.members {
		sum.add(m.speeds)
	}
	return sum
}

// domainSpeeds is memberSpeeds with what this router measured itself. A member that uses the
// sum counts its own part twice, which changes the weight of its answers only.
func (s *State) domainSpeeds() speeds {
	sum := s.memberSpeeds()
	sum.add(s.ownSpeeds)
	return sum
}

// elsewhereSpeeds adds up what the other failure domains measured.
func (s *State) elsewhereSpeeds() speeds {
	sum := make(speeds)
	for _, d := range s.domains {
		sum.add(d.speeds)
	}
	return sum
}
