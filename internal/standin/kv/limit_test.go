package kv

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestBucketKeepsRate(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate = 100
	b := newTokenBucket(rate)
	now := time.Unix(1000, 0)
	allowed := 0
	// Calls arrive at twice the rate for ten seconds.
	for range 10 * 2 * rate {
		now = now.Add(time.Second / (2 * rate))
		if b.allow(now) {
			allowed++
		}
	}
	burst := int(rate * burstFraction)
	g.Expect(allowed).To(gomega.BeNumerically("~", 10*rate+burst, 1))
	g.Expect(newTokenBucket(0).allow(now)).To(gomega.BeTrue())
}
