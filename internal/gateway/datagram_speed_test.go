package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/speed"
)

// The section stays small when all upstreams of the users' largest fleet have been measured:
// docs/CAPACITY.md counts with 10 bytes each, once a second.
func TestSpeedSectionOfTheLargestFleet(t *testing.T) {
	g, r := NewWithT(t), dispatch.NewReport()
	r.Speeds = make(map[uint32]speed.Sum)
	for i := range uint32(600) {
		r.Speeds[i*7919] = speed.Sum{Work: 100 * time.Second, Time: 250 * time.Second}
	}
	b := appendSpeeds(nil, r.Speeds)
	g.Expect(len(b)).To(BeNumerically("<=", 600*10+8))
	d, err := decode(append((&datagram{addr: "a"}).encode(nil, dispatch.NewReport()), b...))
	g.Expect(err).NotTo(HaveOccurred())
	got, err := d.encoded.decode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Speeds).To(Equal(r.Speeds))
}

// A section that ends in the middle of an entry makes its datagram void, times are cut, and a
// report without the section says nothing.
func TestSpeedSectionIsChecked(t *testing.T) {
	g := NewWithT(t)
	_, err := decodeSpeeds([]byte{1, 2, 3, 4, 9})
	g.Expect(err).To(HaveOccurred())
	got, err := decodeSpeeds(appendVarints([]byte{1, 0, 0, 0}, 1<<60, 1<<60))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got[1].Work).To(Equal(maxSpeedTime * time.Millisecond))
	got, err = decodeSpeeds(nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(BeNil())
}
