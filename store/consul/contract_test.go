package consul_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
	"github.com/jujubeford/jujubeford/internal/standin/kv"
	"github.com/jujubeford/jujubeford/internal/standin/netfault"
	"github.com/jujubeford/jujubeford/store"
	"github.com/jujubeford/jujubeford/store/consul"
	"github.com/jujubeford/jujubeford/store/storetest"
)

func TestStoreContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) (store.Store, storetest.Faults) {
		return startStandin(t, 0)
	})
}

func TestDirectoryContract(t *testing.T) {
	storetest.RunDirectory(t, func(t *testing.T, lag time.Duration) (store.Directory, storetest.Faults) {
		return startStandin(t, lag)
	})
}

// startStandin serves a stand-in of the platform on loopback and returns a client
// with short deadlines.
func startStandin(t *testing.T, lag time.Duration) (*consul.Client, standinFaults) {
	t.Helper()
	listener, err := netfault.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := kv.New(kv.Options{ListLag: lag}, listener)
	httpServer := &http.Server{Handler: server.Handler()}
	go func() { _ = httpServer.Serve(listener) }()
	client := consul.New(consul.Options{
		Addr:       listener.Addr().String(),
		Timeout:    2 * time.Second,
		WaitMargin: time.Second,
	})
	t.Cleanup(func() {
		client.Close()
		_ = httpServer.Close()
	})
	return client, standinFaults{t, server}
}

// standinFaults implements storetest.Faults for the stand-in.
type standinFaults struct {
	t      *testing.T
	server *kv.Server
}

func (f standinFaults) set(faults kv.Faults) {
	f.t.Helper()
	if err := f.server.SetFaults(faults); err != nil {
		f.t.Fatal(err)
	}
}

func (f standinFaults) Clear()              { f.set(kv.Faults{}) }
func (f standinFaults) DropResponses(n int) { f.set(kv.Faults{LoseAnswers: n}) }
func (f standinFaults) HoldWrites(n int)    { f.set(kv.Faults{LateWrites: n}) }
func (f standinFaults) ReleaseWrites()      { f.set(kv.Faults{ReleaseLate: true}) }
func (f standinFaults) DropWrites(n int)    { f.set(kv.Faults{DropWrites: n}) }
func (f standinFaults) ServeStaleReads()    { f.set(kv.Faults{StaleReads: true}) }
func (f standinFaults) StallConnections()   { f.set(kv.Faults{Silence: true}) }
func (f standinFaults) ResetIndex()         { f.set(kv.Faults{ResetIndex: true}) }
func (f standinFaults) FreezeInstances()    { f.set(kv.Faults{FrozenList: true}) }
func (f standinFaults) WaitingCalls() int   { return f.server.Stats().Waiting }

func (f standinFaults) DelayCalls(delay time.Duration) {
	f.set(kv.Faults{Slow: control.Millis(delay.Milliseconds())})
}

func (f standinFaults) SetInstances(list []store.Instance) { f.server.SetInstances(list) }

func (f standinFaults) Outage(outage storetest.Outage) {
	f.set(kv.Faults{Outage: map[storetest.Outage]kv.Outage{
		storetest.OutageNone:        kv.OutageNone,
		storetest.OutageError:       kv.OutageError,
		storetest.OutageNoResponse:  kv.OutageSilent,
		storetest.OutageConnRefused: kv.OutageRefuse,
	}[outage]})
}
