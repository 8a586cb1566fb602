package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestStatsNameTheMostRefusedOrganisation: until the next sample.
func TestStatsNameTheMostRefusedOrganisation(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission(1)
	for _, org := range []string{"a", "b", "", "b"} {
		a.countRefusal(org)
	}
	stats := a.stats()
	g.Expect(stats.mostRefused).To(Equal("b"))
	g.Expect(stats.mostRefusedCount).To(Equal(2))
	a.adjustCost(time.Now(), 0, 0)
	g.Expect(a.stats().mostRefusedCount).To(BeZero())
}
