package storetest

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

// RunDirectory tests the contract of store.Directory. newDirectory starts a fresh
// platform without faults whose instance list lags by lag.
func RunDirectory(t *testing.T, newDirectory func(t *testing.T, lag time.Duration) (store.Directory, Faults)) {
	t.Helper()
	for _, c := range directoryCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			directory, faults := newDirectory(t, c.lag)
			c.run(t, gomega.NewWithT(t), directory, faults)
		})
	}
}

// listLag is the lag of the instance list in the cases that need one.
const listLag = 100 * time.Millisecond

// directoryCase tests one rule of the contract, which its name states.
type directoryCase struct {
	name string
	lag  time.Duration
	run  func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults)
}

var (
	engineInstance = store.Instance{
		ID: "e1", Service: "chat", Addr: "127.0.0.1:1001", Domain: "d1", State: store.InstanceLive,
	}
	routerInstance = store.Instance{
		ID: "r1", Service: store.RouterService, Addr: "127.0.0.2:1002", Domain: "d2", State: store.InstanceLeaving,
	}
)

// listInstances reads the instance list without waiting for a change.
func listInstances(t *testing.T, g gomega.Gomega, directory store.Directory) ([]store.Instance, uint64) {
	t.Helper()
	list, next, err := directory.Instances(callContext(t), 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return list, next
}

var directoryCases = []directoryCase{
	{"one call returns the instances of all services, with domain and state", 0, func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults) {
		faults.SetInstances([]store.Instance{engineInstance, routerInstance})
		list, _ := listInstances(t, g, directory)
		g.Expect(list).To(gomega.ConsistOf(engineInstance, routerInstance))
	}},
	{"without instances the list is empty", 0, func(t *testing.T, g gomega.Gomega, directory store.Directory, _ Faults) {
		list, _ := listInstances(t, g, directory)
		g.Expect(list).To(gomega.BeEmpty())
	}},
	{"a change wakes a waiting call", 0, func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults) {
		faults.SetInstances([]store.Instance{engineInstance})
		_, next := listInstances(t, g, directory)
		listed := make(chan []store.Instance, 1)
		ctx := callContext(t)
		go func() {
			list, _, _ := directory.Instances(ctx, next, longWait)
			listed <- list
		}()
		g.Eventually(faults.WaitingCalls, eventuallyTimeout, pollInterval).Should(gomega.Equal(1))
		faults.SetInstances([]store.Instance{routerInstance})
		g.Expect(<-listed).To(gomega.ConsistOf(routerInstance))
	}},
	{"a call returns the same list if nothing changes", 0, func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults) {
		faults.SetInstances([]store.Instance{engineInstance})
		_, next := listInstances(t, g, directory)
		list, unchanged, err := directory.Instances(callContext(t), next, shortWait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(unchanged).To(gomega.Equal(next))
		g.Expect(list).To(gomega.ConsistOf(engineInstance))
	}},
	{"the list shows a change after its lag", listLag, func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults) {
		faults.SetInstances([]store.Instance{engineInstance})
		g.Eventually(func() []store.Instance {
			list, _ := listInstances(t, g, directory)
			return list
		}, eventuallyTimeout, pollInterval).Should(gomega.ConsistOf(engineInstance))
	}},
	{"a frozen list shows a change once it is updated again", 0, func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults) {
		faults.SetInstances([]store.Instance{engineInstance})
		faults.FreezeInstances()
		faults.SetInstances([]store.Instance{routerInstance})
		list, _ := listInstances(t, g, directory)
		g.Expect(list).To(gomega.ConsistOf(engineInstance))
		faults.Clear()
		list, _ = listInstances(t, g, directory)
		g.Expect(list).To(gomega.ConsistOf(routerInstance))
	}},
	{"a call during an outage fails and returns the index unchanged", 0, func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults) {
		faults.SetInstances([]store.Instance{engineInstance})
		_, next := listInstances(t, g, directory)
		faults.Outage(OutageError)
		_, kept, err := directory.Instances(callContext(t), next, shortWait)
		g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
		g.Expect(kept).To(gomega.Equal(next))
	}},
	{"a call on a stalled connection ends, and the next one succeeds", 0, func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults) {
		faults.SetInstances([]store.Instance{engineInstance})
		_, next := listInstances(t, g, directory)
		faults.StallConnections()
		_, _, err := directory.Instances(callContext(t), next, shortWait)
		g.Expect(err).To(gomega.MatchError(store.ErrUnavailable))
		list, _ := listInstances(t, g, directory)
		g.Expect(list).To(gomega.ConsistOf(engineInstance))
	}},
	{"an index that went backwards restarts at 0", 0, func(t *testing.T, g gomega.Gomega, directory store.Directory, faults Faults) {
		for range 5 {
			faults.SetInstances([]store.Instance{engineInstance})
		}
		_, next := listInstances(t, g, directory)
		faults.ResetIndex()
		list, restarted, err := directory.Instances(callContext(t), next, shortWait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(list).To(gomega.ConsistOf(engineInstance))
		g.Expect(restarted).To(gomega.BeZero())
	}},
}
