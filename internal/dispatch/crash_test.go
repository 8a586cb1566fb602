package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
)

// probes returns the upstreams that were probed.
func (f *fixture) probes() (list []string) {
	for _, e := range f.all {
		if p, ok := e.(Probe); ok {
			list = append(list, p.Upstream.ID)
		}
	}
	return list
}

// Attempts whose connections break cause one probe of their upstream; other failures
// cause none.
func TestBrokenConnectionsCauseOneProbe(t *testing.T) {
	f := newFixture(t, 1)
	var ids []string
	for range 3 {
		ids = append(ids, f.arrive(draft, model, 600))
	}
	f.fail(ids[0], Failed{Kind: core.FailIdle, MayHaveRun: true})
	f.g.Expect(f.probes()).To(BeEmpty())
	f.fail(ids[1], Failed{Kind: core.FailTruncated, MayHaveRun: true})
	f.fail(ids[2], Failed{Kind: core.FailReset, MayHaveRun: true})
	f.g.Expect(f.probes()).To(Equal([]string{"m00"}))
}
