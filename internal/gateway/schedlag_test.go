package gateway

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSchedLagIsTheQuantileOfNewWaits(t *testing.T) {
	g := NewWithT(t)
	bounds := []float64{0, 0.001, 0.010, 0.100, math.Inf(1)}
	var l schedLag
	g.Expect(l.quantileSince([]uint64{90, 0, 9, 1}, bounds)).To(Equal(time.Millisecond))
	// None of the new waits is in the fast bucket, all are in a slow one.
	g.Expect(l.quantileSince([]uint64{90, 0, 49, 1}, bounds)).To(Equal(100 * time.Millisecond))
	g.Expect(l.quantileSince([]uint64{90, 0, 49, 100}, bounds)).To(Equal(100*time.Millisecond), "the last bucket has no upper bound")
	g.Expect(l.quantileSince([]uint64{99, 0, 49, 100}, bounds)).To(BeZero(), "too few new waits")
	g.Expect(l.quantileSince([]uint64{99, 0, 49, 100}, bounds)).To(BeZero())
}

func TestSchedLagReadsTheRuntime(t *testing.T) {
	g := NewWithT(t)
	var l schedLag
	l.read()
	done := make(chan struct{})
	const goroutines = 10_000
	for range goroutines {
		go func() { done <- struct{}{} }()
	}
	for range goroutines {
		<-done
	}
	g.Expect(l.read()).To(BeNumerically(">", 0))
}
