package storetest

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

// Run runs the contract of store.Store. newStore makes a fresh platform
// without faults, whose client has short deadlines.
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

// RunCommon runs the groups of the contract that hold for every store: leases of
// some stores remove their keys, others free them.
func RunCommon(t *testing.T, newStore func(t *testing.T) (store.Store, Faults)) {
	t.Helper()
	t.Run("compare-and-swap", func(t *testing.T) { runCases(t, casCases, newStore) })
	t.Run("value", func(t *testing.T) { runCases(t, valueCases, newStore) })
}

// storeCase is one line of the contract; its name reads as a sentence.
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

// mustWrite writes a key that must have the index, and returns its new index.
func mustWrite(t *testing.T, g gomega.Gomega, s store.Store, key, value string, index uint64) uint64 {
	t.Helper()
	ok, err := s.CAS(callContext(t), key, []byte(value), index)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ok).To(gomega.BeTrue(), "compare failed")
	return expectValue(t, g, s, key, value)
}

// expectValue checks what a key holds and returns its index.
func expectValue(t *testing.T, g gomega.Gomega, s store.Store, key, value string) uint64 {
	t.Helper()
	entry, err := s.Get(callContext(t), key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(entry.Value)).To(gomega.Equal(value))
	g.Expect(entry.Key).To(gomega.Equal(key))
	return entry.Index
}

// expectMissing checks that there is no such key.
func expectMissing(t *testing.T, g gomega.Gomega, s store.Store, key string) {
	t.Helper()
	_, err := s.Get(callContext(t), key)
	g.Expect(err).To(gomega.MatchError(store.ErrNotFound))
}

var casCases = []storeCase{
	{"a key that must not exist is made once", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		mustWrite(t, g, s, "a/b", "one", 0)
		ok, err := s.CAS(callContext(t), "a/b", []byte("two"), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeFalse())
		expectValue(t, g, s, "a/b", "one")
	}},
	{"the index grows and an old one conflicts", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		second := mustWrite(t, g, s, "k", "two", first)
		g.Expect(second).To(gomega.BeNumerically(">", first))
		ok, err := s.CAS(callContext(t), "k", []byte("three"), first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeFalse())
		expectValue(t, g, s, "k", "two")
	}},
	{"an index for a missing key conflicts", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		ok, err := s.CAS(callContext(t), "k", []byte("one"), 7)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeFalse())
		expectMissing(t, g, s, "k")
	}},
	{"one of many racing writers wins", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
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
	{"a delete needs the index", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
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
	{"a key made again after a delete has a higher index", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		_, err := s.Delete(callContext(t), "k", first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(mustWrite(t, g, s, "k", "two", 0)).To(gomega.BeNumerically(">", first))
	}},
}

var valueCases = []storeCase{
	{"the largest value is kept whole", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		mustWrite(t, g, s, "k", string(bytes.Repeat([]byte("x"), store.MaxValue)), 0)
	}},
	{"a larger value is refused and nothing written", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		_, err := s.CAS(callContext(t), "k", make([]byte, store.MaxValue+1), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrTooLarge))
		expectMissing(t, g, s, "k")
	}},
	{"an empty value is a value", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		mustWrite(t, g, s, "k", "", 0)
	}},
	{"bytes and key names of any kind come back unchanged", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		for _, key := range []string{"a b", "a%2Fb", "a?b=c&d", "ü/#", "a+b"} {
			mustWrite(t, g, s, key, "\x00\xff\n", 0)
		}
	}},
	{"a list has the keys under its prefix in order", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		for _, key := range []string{"p/b", "p/a", "q/a"} {
			mustWrite(t, g, s, key, key, 0)
		}
		entries, err := s.List(callContext(t), "p/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entries).To(gomega.HaveLen(2))
		g.Expect(entries[0].Key).To(gomega.Equal("p/a"))
		g.Expect(string(entries[1].Value)).To(gomega.Equal("p/b"))
	}},
	{"a list of nothing is empty", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		entries, err := s.List(callContext(t), "none/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entries).To(gomega.BeEmpty())
	}},
}
