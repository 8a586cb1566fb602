package storetest

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

const (
	// expiringTTL is the time of a lease that is to lapse.
	expiringTTL = 100 * time.Millisecond
	// longTTL is the time of a lease that is to stand through a test.
	longTTL = 2 * callTimeout
	// renewableTTL is the time of a lease that is renewed once, after renewAfter.
	renewableTTL = 3 * time.Second
	renewAfter   = 2 * time.Second
)

// grant makes a lease.
func grant(t *testing.T, g gomega.Gomega, s store.Store, ttl time.Duration) store.LeaseID {
	t.Helper()
	lease, err := s.Grant(callContext(t), ttl)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease).NotTo(gomega.BeEmpty())
	return lease
}

// acquire binds a key to a lease and reports whether that worked.
func acquire(t *testing.T, g gomega.Gomega, s store.Store, lease store.LeaseID) bool {
	t.Helper()
	ok, err := s.Acquire(callContext(t), "lock", []byte(lease), lease)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return ok
}

var leaseCases = []storeCase{
	{"one lease holds a key", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first, second := grant(t, g, s, longTTL), grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, first)).To(gomega.BeTrue())
		g.Expect(acquire(t, g, s, second)).To(gomega.BeFalse())
		expectValue(t, g, s, "lock", string(first))
	}},
	{"its holder may acquire a key again", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		lease := grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, lease)).To(gomega.BeTrue())
		g.Expect(acquire(t, g, s, lease)).To(gomega.BeTrue())
	}},
	{"a revoked lease frees its key and is lost", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first, second := grant(t, g, s, longTTL), grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, first)).To(gomega.BeTrue())
		g.Expect(s.Revoke(callContext(t), first)).To(gomega.Succeed())
		g.Expect(acquire(t, g, s, second)).To(gomega.BeTrue())
		expectLeaseLost(t, g, s, first)
	}},
	{"a lapsed lease frees its key and is lost", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first, second := grant(t, g, s, expiringTTL), grant(t, g, s, longTTL)
		_, err := s.Acquire(callContext(t), "lock", []byte(first), first)
		if err != nil { // it lapsed before
			g.Expect(err).To(gomega.MatchError(store.ErrLeaseLost))
		}
		g.Eventually(func() bool { return acquire(t, g, s, second) }, eventuallyTimeout, pollInterval).Should(gomega.BeTrue())
		expectLeaseLost(t, g, s, first)
	}},
	{"a renewed lease stands past its first end", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first, second := grant(t, g, s, renewableTTL), grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, first)).To(gomega.BeTrue())
		time.Sleep(renewAfter)
		g.Expect(s.Renew(callContext(t), first)).To(gomega.Succeed())
		time.Sleep(renewAfter)
		g.Expect(acquire(t, g, s, second)).To(gomega.BeFalse())
	}},
	{"a key's index grows when its lease ends", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		lease := grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, lease)).To(gomega.BeTrue())
		held := expectValue(t, g, s, "lock", string(lease))
		g.Expect(s.Revoke(callContext(t), lease)).To(gomega.Succeed())
		freed := expectValue(t, g, s, "lock", string(lease))
		g.Expect(freed).To(gomega.BeNumerically(">", held))
	}},
	{"a lease that never was is lost", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		expectLeaseLost(t, g, s, "no-such-lease")
	}},
}

// expectLeaseLost checks that a lease can neither be renewed nor used.
func expectLeaseLost(t *testing.T, g gomega.Gomega, s store.Store, lease store.LeaseID) {
	t.Helper()
	g.Expect(s.Renew(callContext(t), lease)).To(gomega.MatchError(store.ErrLeaseLost))
	_, err := s.Acquire(callContext(t), "other", nil, lease)
	g.Expect(err).To(gomega.MatchError(store.ErrLeaseLost))
}
