package storetest

import (
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

// callDelay is a delay well below the client's deadline.
const callDelay = 20 * time.Millisecond

var writeFaultCases = []storeCase{
	{"a write whose response is lost is unknown and takes effect", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.DropResponses(1)
		_, err := s.CAS(callContext(t), "k", []byte("one"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectValue(t, g, s, "k", "one")
	}},
	{"a write that is lost is unknown and takes no effect", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.DropWrites(1)
		_, err := s.CAS(callContext(t), "k", []byte("one"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectMissing(t, g, s, "k")
	}},
	{"a write that is unknown may take effect later", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.HoldWrites(1)
		_, err := s.CAS(callContext(t), "k", []byte("one"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectMissing(t, g, s, "k")
		faults.ReleaseWrites()
		expectValue(t, g, s, "k", "one")
	}},
	{"a write that takes effect late does not overwrite a write made in between", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.HoldWrites(1)
		_, err := s.CAS(callContext(t), "k", []byte("late"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		mustWrite(t, g, s, "k", "mine", 0)
		faults.ReleaseWrites()
		expectValue(t, g, s, "k", "mine")
	}},
	{"a delete whose response is lost takes effect", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		index := mustWrite(t, g, s, "k", "one", 0)
		faults.DropResponses(1)
		_, err := s.Delete(callContext(t), "k", index)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectMissing(t, g, s, "k")
	}},
	{"an acquire whose response is lost takes effect and may be repeated", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		first, second := grant(t, g, s, longTTL), grant(t, g, s, longTTL)
		faults.DropResponses(1)
		_, err := s.Acquire(callContext(t), "lock", []byte(first), first)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		g.Expect(acquire(t, g, s, second)).To(gomega.BeFalse())
		g.Expect(acquire(t, g, s, first)).To(gomega.BeTrue())
	}},
	{"a grant whose response is lost is unknown", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.DropResponses(1)
		_, err := s.Grant(callContext(t), longTTL)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
	}},
	{"a stale read returns the old value, and a write with its index conflicts", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
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
	{"delayed calls succeed", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		faults.DelayCalls(callDelay)
		mustWrite(t, g, s, "k", "one", 0)
	}},
}

var outageCases = []storeCase{
	outageCase("outage with error responses", OutageError, store.ErrUnavailable),
	outageCase("outage with refused connections", OutageConnRefused, store.ErrUnavailable),
	outageCase("outage without responses", OutageNoResponse, store.ErrUnknown),
	{"a read on a stalled connection fails, and the next one succeeds", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		mustWrite(t, g, s, "k", "one", 0)
		faults.StallConnections()
		_, err := s.Get(callContext(t), "k")
		g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
		expectValue(t, g, s, "k", "one")
	}},
	{"a write on a stalled connection is unknown and not repeated", func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		mustWrite(t, g, s, "k", "one", 0)
		faults.StallConnections()
		_, err := s.CAS(callContext(t), "k2", []byte("two"), 0)
		g.Expect(err).To(gomega.MatchError(store.ErrUnknown))
		expectMissing(t, g, s, "k2")
	}},
}

// outageCase checks the error of every call during an outage, that no call took
// effect, and that the store works afterwards. writeErr is the error of writes.
func outageCase(name string, outage Outage, writeErr error) storeCase {
	return storeCase{name, func(t *testing.T, g gomega.Gomega, s store.Store, faults Faults) {
		index := mustWrite(t, g, s, "k", "one", 0)
		lease := grant(t, g, s, longTTL)
		faults.Outage(outage)
		// An outage may close the open connections, and a write on such a connection
		// would be unknown. This read finds them closed instead.
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

// outageCall is a call during an outage with the error that it must return.
type outageCall struct {
	name string
	err  error
	run  func() error
}

// runConcurrently runs all calls concurrently and returns their errors in the
// order of calls.
func runConcurrently(calls []outageCall) []error {
	errs := make([]error, len(calls))
	var wg sync.WaitGroup
	for i, call := range calls {
		wg.Go(func() { errs[i] = call.run() })
	}
	wg.Wait()
	return errs
}
