package storetest

import (
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

// callDelay is a delay well below a client's deadline.
const callDelay = 20 * time.Millisecond

var writeFaultCases = []storeCase{
	{"a write whose answer was lost is unknown and took effect", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.DropResponses(1)
		_, err := s.CAS(callContext(t), "k", []byte("one"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectValue(t, g, s, "k", "one")
	}},
	{"a write that was lost is unknown and took no effect", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.DropWrites(1)
		_, err := s.CAS(callContext(t), "k", []byte("one"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectMissing(t, g, s, "k")
	}},
	{"a write may take effect late", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.HoldWrites(1)
		_, err := s.CAS(callContext(t), "k", []byte("one"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectMissing(t, g, s, "k")
		faults.ReleaseWrites()
		expectValue(t, g, s, "k", "one")
	}},
	{"a late write does not overwrite one made in between", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.HoldWrites(1)
		_, err := s.CAS(callContext(t), "k", []byte("late"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		mustWrite(t, g, s, "k", "mine", 0)
		faults.ReleaseWrites()
		expectValue(t, g, s, "k", "mine")
	}},
	{"a lost delete took effect", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		index := mustWrite(t, g, s, "k", "one", 0)
		faults.DropResponses(1)
		_, err := s.Delete(callContext(t), "k", index)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectMissing(t, g, s, "k")
	}},
	{"a lost acquire took effect and may be repeated", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		first, second := grant(t, g, s, longTTL), grant(t, g, s, longTTL)
		faults.DropResponses(1)
		_, err := s.Acquire(callContext(t), "lock", []byte(first), first)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		g.Expect(acquire(t, g, s, second)).To(gomega.BeFalse())
		g.Expect(acquire(t, g, s, first)).To(gomega.BeTrue())
	}},
	{"a lost grant is unknown", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.DropResponses(1)
		_, err := s.Grant(callContext(t), longTTL)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
	}},
	{"stale reads serve the old value, and a write with its index conflicts", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		first := mustWrite(t, g, s, "k", "one", 0)
		faults.ServeStaleReads()
		ok, err := s.CAS(callContext(t), "k", []byte("two"), first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(expectValue(t, g, s, "k", "one")).To(gomega.Equal(first))
		ok, err = s.CAS(callContext(t), "k", []byte("three"), first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ok).To(gomega.BeFalse())
		faults.Clear()
		expectValue(t, g, s, "k", "two")
	}},
	{"slow calls are answered", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.DelayCalls(callDelay)
		mustWrite(t, g, s, "k", "one", 0)
	}},
}

var outageCases = []storeCase{
	outageCase("an outage with errors", OutageError, store.ErrUnavailable),
	outageCase("an outage that refuses connections", OutageConnRefused, store.ErrUnavailable),
	outageCase("an outage that is silent", OutageNoResponse, store.ErrUnknown),
	{"after connections went silent the next call but one works", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		mustWrite(t, g, s, "k", "one", 0)
		faults.StallConnections()
		_, err := s.Get(callContext(t), "k")
		g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
		expectValue(t, g, s, "k", "one")
	}},
	{"a write on a silent connection is unknown and not repeated", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		mustWrite(t, g, s, "k", "one", 0)
		faults.StallConnections()
		_, err := s.CAS(callContext(t), "k2", []byte("two"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectMissing(t, g, s, "k2")
	}},
}

// outageCase checks what all calls say during an outage, that nothing was done,
// and that the store works after it. writeErr is what writes say.
func outageCase(name string, outage Outage, writeErr error) storeCase {
	return storeCase{name, func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		index := mustWrite(t, g, s, "k", "one", 0)
		lease := grant(t, g, s, longTTL)
		faults.Outage(outage)
		// An outage may cut open connections, on which a write is unknown; the
		// first call finds them cut.
		_, err := s.Get(callContext(t), "k")
		g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
		calls := []outageCall{
			{"get", store.ErrUnavailable, func() error { _, err := s.Get(callContext(t), "k"); return err }},
			{"list", store.ErrUnavailable, func() error { _, err := s.List(callContext(t), "k"); return err }},
			{"watch", store.ErrUnavailable, func() error { _, err := s.Watch(callContext(t), "k", 1, shortWait); return err }},
			{"cas", writeErr, func() error { _, err := s.CAS(callContext(t), "k", []byte("two"), index); return err }},
			{"delete", writeErr, func() error { _, err := s.Delete(callContext(t), "k", index); return err }},
			{"acquire", writeErr, func() error { _, err := s.Acquire(callContext(t), "lock", nil, lease); return err }},
			{"grant", writeErr, func() error { _, err := s.Grant(callContext(t), longTTL); return err }},
			{"renew", writeErr, func() error { return s.Renew(callContext(t), lease) }},
			{"revoke", writeErr, func() error { return s.Revoke(callContext(t), lease) }},
		}
		for i, err := range runConcurrently(calls) {
			g.Expect(err).To(gomega.MatchError(calls[i].err), calls[i].name)
		}
		faults.Outage(OutageNone)
		g.Expect(expectValue(t, g, s, "k", "one")).To(gomega.Equal(index))
		g.Expect(s.Renew(callContext(t), lease)).To(gomega.Succeed())
	}}
}

// outageCall is a call during an outage with the error it must give.
type outageCall struct {
	name string
	err  error
	run  func() error
}

// runConcurrently runs all calls at the same time and returns their errors in order.
func runConcurrently(calls []outageCall) []error {
	errs := make([]error, len(calls))
	var wg sync.WaitGroup
	for i, call := range calls {
		wg.Go(func() { errs[i] = call.run() })
	}
	wg.Wait()
	return errs
}
