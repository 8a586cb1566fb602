package kv

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestBucketKeepsRate(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate = 100
	b := newBucket(rate)
	now := time.Unix(1000, 0)
	taken := 0
	// Twice the rate is tried for ten seconds.
	for range 10 * 2 * rate {
		now = now.Add(time.Second / (2 * rate))
		if b.take(now) {
			taken++
		}
	}
	burst := int(rate * burstFraction)
	g.Expect(taken).To(gomega.BeNumerically("~", 10*rate+burst, 1))
	g.Expect(newBucket(0).take(now)).To(gomega.BeTrue())
}
