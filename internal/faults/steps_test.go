package faults

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// step is a place in the life of a fleet at which a fault strikes.
type step struct {
	name string
	at   func(what any) bool
	// cause brings the step about, if the load alone does not.
	cause func(f *fleet)
	// light makes requests small, so that slots are free.
	light bool
	// open says why the step may never be seen.
	open string
}

// causeAfter is when, after the start of the load, a step is brought about.
const causeAfter = 2 * time.Second

var steps = []step{
	{name: "demand is told", at: isMessage[*wire.Envelope_Demand]},
	{name: "a slot is granted", at: isMessage[*wire.Envelope_Grant]},
	{name: "a claim is written", at: is[core.KVCAS]},
	{name: "a claim is asked about", at: isMessage[*wire.Envelope_ClaimQuery]},
	{name: "a request is sent", at: is[core.Send]},
	{name: "a hedge is sent", at: isHedge, cause: slowUpstream, light: true},
	{name: "an answer begins", at: is[core.Commit]},
	{name: "progress is told", at: isMessage[*wire.Envelope_Progress]},
	{name: "a slot is given back", at: isMessage[*wire.Envelope_Release]},
	{name: "counters are told", at: isMessage[*wire.Envelope_CounterReport]},
	{name: "a router is pinged", at: isMessage[*wire.Envelope_Ping]},
	{name: "a configuration is accepted", at: is[accepted], cause: acceptOne},
	{name: "a configuration is put in force", at: is[core.Apply], cause: acceptOne},
	{name: "a drain begins", at: isLeaving, cause: drainOne},
	{name: "ownership moves", at: isMove, cause: killOne},
	{name: "the instance list changes", at: is[listed], cause: addUpstream},
}

func is[E any](what any) bool { _, ok := what.(E); return ok }

func isMessage[M any](what any) bool {
	m, ok := what.(core.SendPeer)
	if !ok {
		return false
	}
	_, ok = any(m.Message.Body).(M)
	return ok
}

func isHedge(what any) bool {
	r, ok := what.(core.Record)
	return ok && r.What == "hedged"
}

// isLeaving sees a router tell that it is leaving.
func isLeaving(what any) bool {
	m, ok := what.(core.SendPeer)
	if !ok {
		return false
	}
	for _, u := range m.Message.GetGossip().GetUpdates() {
		if u.State == wire.MemberState_MEMBER_LEAVING {
			return true
		}
	}
	return false
}

// isMove sees an entry tell a new owner all that it holds there.
func isMove(what any) bool {
	m, ok := what.(core.SendPeer)
	return ok && m.Message.GetProgress().GetFull()
}

func acceptOne(f *fleet) { f.after(causeAfter, f.accept) }

func drainOne(f *fleet) {
	n := f.nodes[2]
	f.after(causeAfter, func() { f.deliver(n, core.Drain{}) })
}

func killOne(f *fleet) {
	n := f.nodes[3]
	f.after(causeAfter, func() {
		f.kill(n)
		f.mend(faultTime, func() { f.restart(n) })
	})
}

func slowUpstream(f *fleet) {
	u := f.upstreams["m0"]
	f.after(causeAfter, func() {
		u.slow = faultTime
		f.mend(faultTime, func() { u.slow = 0 })
	})
}

func addUpstream(f *fleet) {
	u := core.Upstream{ID: "m4", Service: modelService, Addr: "127.0.0.1:9004", Domain: "a"}
	f.after(causeAfter, func() {
		f.upstreams[u.ID] = &fakeUpstream{Upstream: u, ran: make(map[string]int)}
		f.listAll(0)
	})
}
