package storetest

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

// Run tests the contract of store.Store. newStore starts a fresh platform without
// faults and returns a client with short deadlines.
func Run(t *testing.T, newStore func(t *testing.T) (store.Store, Faults)) {
	t.Helper()
	groups := []struct {
		name  string
		cases []storeCase
	}{
		{"compare-and-swap", casCases},
		{"value", valueCases},
		{"lease", leaseCases},
		{"watch", watchCases},
		{"write fault", writeFaultCases},
		{"outage", outageCases},
	}
	for _, group := range groups {
		t.Run(group.name, func(t *testing.T) { runCases(t, group.cases, newStore) })
	}
}

// RunCommon runs the groups of the contract that hold for every store. Leases
// differ between stores: when a lease ends, some release its keys and others
// remove them.
func RunCommon(t *testing.T, newStore func(t *testing.T) (store.Store, Faults)) {
	t.Helper()
	t.Run("compare-and-swap", func(t *testing.T) { runCases(t, casCases, newStore) })
	t.Run("value", func(t *testing.T) { runCases(t, valueCases, newStore) })
}

// storeCase tests one rule of the contract, which its name states.
type storeCase struct {
	name string
	run  func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults)
}

func runCases(t *testing.T, cases []storeCase, newStore func(t *testing.T) (store.Store, Faults)) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, faults := newStore(t)
			c.run(t, gomega.NewWithT(t), s, faults)
		})
	}
}

// mustWrite writes a key whose current index is index, and returns its new index.
func mustWrite(t *testing.T, g gomega.Gomega, s store.Store, key, value string, index uint64) uint64 {
	t.Helper()
	ok, err := s.CAS(callContext(t), key, []byte(value), index)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ok).To(gomega.BeTrue(), "compare failed")
	return expectValue(t, g, s, key, value)
}

// expectValue checks the value of a key and returns its index.
func expectValue(t *testing.T, g gomega.Gomega, s store.Store, key, value string) uint64 {
	t.Helper()
	entry, err := s.Get(callContext(t), key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(entry.Value)).To(gomega.Equal(value))
	g.Expect(entry.Key).To(gomega.Equal(key))
	return entry.Index
}

// expectMissing checks that a key does not exist.
func expectMissing(t *testing.T, g gomega.Gomega, s store.Store, key string) {
	t.Helper()
	_, err := s.Get(callContext(t), key)
	g.Expect(err).To(gomega.MatchError(store.ErrNotFound))
}

var casCases = []storeCase{
	{"a write with index 0 creates a key only if it does not exist", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		mustWrite(t, g, s, "a/b", "one", 0)
		ok, err := s.CAS(callContext(t), "a/b", []byte("two"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeFalse())
		expectValue(t, g, s, "a/b", "one")
	}},
	{"each write raises the index, and a write with an old index conflicts", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		second := mustWrite(t, g, s, "k", "two", first)
		g.Expect(second).To(gomega.BeNumerically(">", first))
		ok, err := s.CAS(callContext(t), "k", []byte("three"), first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeFalse())
		expectValue(t, g, s, "k", "two")
	}},
	{"a write with an index conflicts if the key does not exist", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		ok, err := s.CAS(callContext(t), "k", []byte("one"), 7)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeFalse())
		expectMissing(t, g, s, "k")
	}},
	{"exactly one of several concurrent writers succeeds", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		const writers = 8
		won := make(chan bool, writers)
		for range writers {
			go func() {
				ok, err := s.CAS(callContext(t), "k", []byte("mine"), 0)
				won <- ok && err == nil
			}()
		}
		wins := 0
		for range writers {
			if <-won {
				wins++
			}
		}
		g.Expect(wins).To(gomega.Equal(1))
	}},
	{"a delete with an old index conflicts", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		second := mustWrite(t, g, s, "k", "two", first)
		ok, err := s.Delete(callContext(t), "k", first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeFalse())
		ok, err = s.Delete(callContext(t), "k", second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeTrue())
		expectMissing(t, g, s, "k")
	}},
	{"a key created again after a delete has a higher index", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		_, err := s.Delete(callContext(t), "k", first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(mustWrite(t, g, s, "k", "two", 0)).To(gomega.BeNumerically(">", first))
	}},
}

var valueCases = []storeCase{
	{"a value of the largest size is stored unchanged", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		mustWrite(t, g, s, "k", string(bytes.Repeat([]byte("x"), store.MaxValue)), 0)
	}},
	{"a larger value is rejected and not written", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		_, err := s.CAS(callContext(t), "k", make([]byte, store.MaxValue+1), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrTooLarge))
		expectMissing(t, g, s, "k")
	}},
	{"an empty value is stored", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		mustWrite(t, g, s, "k", "", 0)
	}},
	{"arbitrary bytes in values and special characters in keys are preserved", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		for _, key := range []string{"a b", "a%2Fb", "a?b=c&d", "ü/#", "a+b"} {
			mustWrite(t, g, s, key, "\x00\xff\n", 0)
		}
	}},
	{"a list has the keys under its prefix in ascending order", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		for _, key := range []string{"p/b", "p/a", "q/a"} {
			mustWrite(t, g, s, key, key, 0)
		}
		entries, err := s.List(callContext(t), "p/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entries).To(gomega.HaveLen(2))
		g.Expect(entries[0].Key).To(gomega.Equal("p/a"))
		g.Expect(string(entries[1].Value)).To(gomega.Equal("p/b"))
	}},
	{"a list without matching keys is empty", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		entries, err := s.List(callContext(t), "none/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entries).To(gomega.BeEmpty())
	}},
}
