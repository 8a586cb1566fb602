package faults

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// step is a point in the operation of a fleet at which a fault is injected.
type step struct {
	name string
	// matches reports whether an observed effect or event is this step.
	matches func(observed any) bool
	// trigger causes the step if the load alone doesn't.
	trigger func(f *fleet)
	// lightLoad makes requests small, so that slots are free.
	lightLoad bool
	// uncovered, if set, is the reason why the step may not occur.
	uncovered string
}

// triggerDelay is the time from the start of the load to the trigger of a step.
const triggerDelay = 2 * time.Second

var steps = []step{
	{name: "demand is told", matches: isMessage[*wire.Envelope_Demand]},
	{name: "a slot is granted", matches: isMessage[*wire.Envelope_Grant]},
	{name: "a claim is written", matches: isType[core.KVCAS]},
	{name: "a claim is asked about", matches: isMessage[*wire.Envelope_ClaimQuery]},
	{name: "a request is sent", matches: isType[core.Send]},
	{name: "a hedge is sent", matches: isHedge, trigger: slowUpstream, lightLoad: true},
	{name: "an answer begins", matches: isType[core.Commit]},
	{name: "progress is told", matches: isMessage[*wire.Envelope_Progress]},
	{name: "a slot is given back", matches: isMessage[*wire.Envelope_Release]},
	{name: "counters are told", matches: isMessage[*wire.Envelope_CounterReport]},
	{name: "a router is pinged", matches: isMessage[*wire.Envelope_Ping]},
	{name: "a configuration is accepted", matches: isType[configAccepted], trigger: acceptConfig},
	{name: "a configuration is put in force", matches: isType[core.ApplyConfig], trigger: acceptConfig},
	{name: "a drain begins", matches: isLeavingGossip, trigger: drainOne},
	{name: "ownership moves", matches: isOwnershipMove, trigger: killOne},
	{name: "the instance list changes", matches: isType[listChanged], trigger: addUpstream},
}

func isType[E any](observed any) bool { _, ok := observed.(E); return ok }

func isMessage[M any](observed any) bool {
	m, ok := observed.(core.SendPeer)
	if !ok {
		return false
	}
	_, ok = any(m.Message.Body).(M)
	return ok
}

func isHedge(observed any) bool {
	r, ok := observed.(core.Record)
	return ok && r.Event == "hedged"
}

// isLeavingGossip matches a gossip message that reports a leaving router.
func isLeavingGossip(observed any) bool {
	m, ok := observed.(core.SendPeer)
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

// isOwnershipMove matches the full progress report that an entry sends to the new
// owner of an upstream.
func isOwnershipMove(observed any) bool {
	m, ok := observed.(core.SendPeer)
	return ok && m.Message.GetProgress().GetFull()
}

func acceptConfig(f *fleet) { f.after(triggerDelay, f.submitNext) }

func drainOne(f *fleet) {
	n := f.nodes[2]
	f.after(triggerDelay, func() { f.deliver(n, core.Drain{}) })
}

func killOne(f *fleet) {
	n := f.nodes[3]
	f.after(triggerDelay, func() {
		f.killNode(n)
		f.endFaultAfter(faultTime, func() { f.restartNode(n) })
	})
}

func slowUpstream(f *fleet) {
	u := f.upstreams["m0"]
	f.after(triggerDelay, func() {
		u.extraDelay = faultTime
		f.endFaultAfter(faultTime, func() { u.extraDelay = 0 })
	})
}

func addUpstream(f *fleet) {
	u := core.Upstream{ID: "m4", Service: modelService, Addr: "127.0.0.1:9004", Domain: "a"}
	f.after(triggerDelay, func() {
		f.upstreams[u.ID] = &fakeUpstream{Upstream: u, runCounts: make(map[string]int)}
		f.publishInstances(0)
	})
}
