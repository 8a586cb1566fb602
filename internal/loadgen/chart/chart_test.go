package chart

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
)

func TestDrawWritesEachFile(t *testing.T) {
	g := NewWithT(t)
	c := &measure.Curves{
		StepMillis:    100,
		Organisations: []string{"a", "b"},
		Service:       [][]float64{{1, 2, 3}, {1, 1, 2}},
		Demand:        []float64{10, 20, 10},
		Served:        []float64{10, 15, 15},
		Ideal:         []float64{10, 16, 14},
	}
	names, err := Draw(filepath.Join(t.TempDir(), "run"), "test", c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).To(HaveLen(4))
	for _, name := range names {
		info, err := os.Stat(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Size()).To(BeNumerically(">", 0))
	}
}

func TestMovingAverage(t *testing.T) {
	g := NewWithT(t)
	g.Expect(movingAverage([]float64{5, 5, 5, 5, 5, 10})).To(Equal([]float64{5, 5, 5, 5, 5, 6}))
}
