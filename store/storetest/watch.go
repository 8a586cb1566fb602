package storetest

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

// watchResult is what Store.Watch returned.
type watchResult struct {
	entry store.Entry
	err   error
}

// startWatch calls Watch in the background and returns once the call waits at the
// platform.
func startWatch(
	t *testing.T, g gomega.Gomega, s store.Store, faults Faults, key string, index uint64, wait time.Duration,
) <-chan watchResult {
	t.Helper()
	result := make(chan watchResult, 1)
	ctx := callContext(t)
	go func() {
		entry, err := s.Watch(ctx, key, index, wait)
		result <- watchResult{entry, err}
	}()
	g.Eventually(faults.WaitingCalls, eventuallyTimeout, pollInterval).Should(gomega.Equal(1))
	return result
}

var watchCases = []storeCase{
	{"a change wakes a watch", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		result := startWatch(t, g, s, faults, "k", first, longWait)
		second := mustWrite(t, g, s, "k", "two", first)
		got := <-result
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		g.Expect(got.entry).To(gomega.Equal(store.Entry{Key: "k", Value: []byte("two"), Index: second}))
	}},
	{"a watch with an index older than the last change returns at once", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		mustWrite(t, g, s, "k", "two", first)
		entry, err := s.Watch(callContext(t), "k", first, longWait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(entry.Value)).To(gomega.Equal("two"))
	}},
	{"a watch returns the unchanged entry if nothing changes", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		entry, err := s.Watch(callContext(t), "k", first, shortWait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry.Index).To(gomega.Equal(first))
	}},
	{"a change of another key does not change the entry", func(t *testing.T, g gomega.Gomega, s store.Store, _ Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		mustWrite(t, g, s, "k2", "other", 0)
		entry, err := s.Watch(callContext(t), "k", first, shortWait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry.Index).To(gomega.Equal(first))
	}},
	{"a delete wakes a watch", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		result := startWatch(t, g, s, faults, "k", first, longWait)
		_, err := s.Delete(callContext(t), "k", first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect((<-result).err).To(gomega.MatchError(store.ErrNotFound))
	}},
	{"creating a missing key wakes a watch on it", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		mustWrite(t, g, s, "k2", "other", 0)
		missing, err := s.Watch(callContext(t), "k", 0, longWait)
		g.Expect(err).To(gomega.MatchError(store.ErrNotFound))
		g.Expect(missing.Index).NotTo(gomega.BeZero())
		result := startWatch(t, g, s, faults, "k", missing.Index, longWait)
		mustWrite(t, g, s, "k", "one", 0)
		got := <-result
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got.entry.Value)).To(gomega.Equal("one"))
	}},
	{"the end of a lease wakes a watch on its key", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		lease := grant(t, g, s, longTTL)
		g.Expect(acquire(t, g, s, lease)).To(gomega.BeTrue())
		held := expectValue(t, g, s, "lock", string(lease))
		result := startWatch(t, g, s, faults, "lock", held, longWait)
		g.Expect(s.Revoke(callContext(t), lease)).To(gomega.Succeed())
		got := <-result
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		g.Expect(got.entry.Index).To(gomega.BeNumerically(">", held))
	}},
	{"a watch on a stalled connection ends, and the next one succeeds", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		result := startWatch(t, g, s, faults, "k", first, shortWait)
		faults.StallConnections()
		g.Expect((<-result).err).To(gomega.MatchError(store.ErrUnavailable))
		second := mustWrite(t, g, s, "k", "two", first)
		entry, err := s.Watch(callContext(t), "k", first, longWait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry.Index).To(gomega.Equal(second))
	}},
	{"a waiting watch ends when the indexes go backwards and can continue from the low one", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		index := mustWrite(t, g, s, "k", "one", 0)
		for range 5 {
			index = mustWrite(t, g, s, "k", "one", index)
		}
		result := startWatch(t, g, s, faults, "k", index, longWait)
		faults.ResetIndex()
		got := <-result
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		g.Expect(got.entry.Index).To(gomega.BeNumerically("<", index))
		mustWrite(t, g, s, "k", "two", got.entry.Index)
		entry, err := s.Watch(callContext(t), "k", got.entry.Index, longWait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(entry.Value)).To(gomega.Equal("two"))
	}},
}
