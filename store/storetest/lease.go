package storetest

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

const (
	// expiringTTL is the TTL of leases that are to expire during a test.
	expiringTTL = 100 * time.Millisecond
	// longTTL is the TTL of leases that must not expire during a test.
	longTTL = 2 * callTimeout
	// renewableTTL is the TTL of a lease that is renewed once, after renewAfter. It
	// expires before 2*renewAfter unless it is renewed.
	renewableTTL = 3 * time.Second
	renewAfter   = 2 * time.Second
)

// grant creates a lease.
func grant(t *testing.T, g gomega.Gomega, s store.Store, ttl time.Duration) store.LeaseID {
	t.Helper()
	lease, err := s.Grant(callContext(t), ttl)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lease).NotTo(gomega.BeEmpty())
	return lease
}

// acquire binds the key "lock" to a lease and reports whether the lease now holds
// it.
func acquire(t *testing.T, g gomega.Gomega, s store.Store, lease store.LeaseID) bool {
	t.Helper()
	ok, err := s.Acquire(callContext(t), "lock", []byte(lease), lease)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return ok
}

var leaseCases = []storeCase{
	{"only one lease can hold a key", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first, second := grant(t, g, s, longTTL), grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, first)).To(gomega.BeTrue())
		g.Expect(acquire(t, g, s, second)).To(gomega.BeFalse())
		expectValue(t, g, s, "lock", string(first))
	}},
	{"the lease that holds a key may acquire it again", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		lease := grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, lease)).To(gomega.BeTrue())
		g.Expect(acquire(t, g, s, lease)).To(gomega.BeTrue())
	}},
	{"a revoked lease releases its key and is lost", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first, second := grant(t, g, s, longTTL), grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, first)).To(gomega.BeTrue())
		g.Expect(s.Revoke(callContext(t), first)).To(gomega.Succeed())
		g.Expect(acquire(t, g, s, second)).To(gomega.BeTrue())
		expectLeaseLost(t, g, s, first)
	}},
	{"an expired lease releases its key and is lost", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first, second := grant(t, g, s, expiringTTL), grant(t, g, s, longTTL)
		_, err := s.Acquire(callContext(t), "lock", []byte(first), first)
		if err != nil { // the lease has expired already
			g.Expect(err).To(gomega.MatchError(store.ErrLeaseLost))
		}
		g.Eventually(func() bool { return acquire(t, g, s, second) }, eventuallyTimeout, pollInterval).Should(gomega.BeTrue())
		expectLeaseLost(t, g, s, first)
	}},
	{"a renewed lease outlives its first expiry", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
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
	{"a lease that was never granted is lost", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		expectLeaseLost(t, g, s, "no-such-lease")
	}},
}

// expectLeaseLost checks that a lease can neither be renewed nor acquire a key.
func expectLeaseLost(t *testing.T, g gomega.Gomega, s store.Store, lease store.LeaseID) {
	t.Helper()
	g.Expect(s.Renew(callContext(t), lease)).To(gomega.MatchError(store.ErrLeaseLost))
	_, err := s.Acquire(callContext(t), "other", nil, lease)
	g.Expect(err).To(gomega.MatchError(store.ErrLeaseLost))
}
