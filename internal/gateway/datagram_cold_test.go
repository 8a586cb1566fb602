package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/pace"
)

// The section stays small when every upstream of the users' largest fleet is cold and paced:
// docs/CAPACITY.md counts with 13 bytes each.
func TestColdSectionOfTheLargestFleet(t *testing.T) {
	g, r := NewWithT(t), dispatch.NewReport()
	r.Cold, r.Pace = make(map[uint32]time.Duration), make(map[uint32]pace.Report)
	for i := range 600 {
		key := dispatch.Key(fmt.Sprint("i", i))
		r.Cold[key] = 3 * time.Second
		r.Pace[key] = pace.Report{Failures: 100, FirstAge: 9 * time.Second, BadAge: 8 * time.Second, GoodAge: 4 * time.Second}
	}
	b := appendCold(nil, r)
	g.Expect(len(b)).To(BeNumerically("<=", 600*13+8))
	d, err := decode(append((&datagram{addr: "a"}).encode(nil, dispatch.NewReport()), b...))
	g.Expect(err).NotTo(HaveOccurred())
	got, err := d.encoded.decode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Cold).To(Equal(r.Cold))
	g.Expect(got.Pace).To(Equal(r.Pace))
}

// A section that ends in the middle of an entry makes its datagram void, and values out of
// range are cut.
func TestColdSectionIsChecked(t *testing.T) {
	g := NewWithT(t)
	var r dispatch.Report
	g.Expect(decodeCold([]byte{1, 2, 3, 4, 9}, &r)).To(BeFalse())
	r = dispatch.Report{}
	entry := appendVarints([]byte{1, 2, 3, 4}, 1<<60, 1<<60, 1<<60, 1<<60, 0)
	g.Expect(decodeCold(entry, &r)).To(BeTrue())
	key := uint32(0x04030201)
	g.Expect(r.Cold[key]).To(Equal(maxColdLeft * time.Millisecond))
	g.Expect(r.Pace[key]).To(Equal(pace.Report{Failures: maxFailures, FirstAge: maxPaceAge * time.Millisecond, BadAge: maxPaceAge * time.Millisecond, GoodAge: pace.Never}))
}
