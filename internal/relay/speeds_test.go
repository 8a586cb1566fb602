package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/speed"
)

// What routers measure of an upstream reaches all others once a second, though most reports
// do not say it.
func TestSpeedsReachEveryRouter(t *testing.T) {
	const run, seconds, work = 7, 6, time.Second
	forBothSizes(t, "", func(t *testing.T, n int) {
		g, f := NewWithT(t), loaded(n, 4)
		for second := range seconds {
			for _, r := range f.routers {
				r.load.Speeds = speeds{run: speed.Sum{Work: work, Time: 2 * work}}
				r.unreported = reportThreshold
			}
			f.run(100 * time.Millisecond)
			for _, r := range f.routers {
				r.load.Speeds = nil
				if second == seconds-1 {
					r.speedReports = 0
				}
			}
			f.run(900 * time.Millisecond)
		}
		for _, r := range f.routers {
			var sum speed.Sum
			for _, view := range r.speeds {
				sum.Add(view[run])
			}
			g.Expect(sum.Time).To(Equal(2 * sum.Work))
			g.Expect(sum.Work).To(BeNumerically("~", n*int(work), 2*int(work)))
			// Each view says it once a second.
			g.Expect(r.speedReports).To(BeNumerically("<=", 2*len(r.views)))
		}
	})
}
