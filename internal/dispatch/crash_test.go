package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/poison"
)

// probes returns the upstreams that were probed.
func (f *fixture) probes() (list []string) {
	for _, e := range f.all {
		if p, ok := e.(Probe); ok {
			list = append(list, p.Upstream.ID)
		}
	}
	return list
}

// Attempts whose connections break cause one probe of their upstream; other failures
// cause none.
func TestBrokenConnectionsCauseOneProbe(t *testing.T) {
	f := newFixture(t, 1)
	var ids []string
	for range 3 {
		ids = append(ids, f.arrive(draft, model, 600))
	}
	f.fail(ids[0], Failed{Kind: core.FailIdle, MayHaveRun: true})
	f.g.Expect(f.probes()).To(BeEmpty())
	f.fail(ids[1], Failed{Kind: core.FailTruncated, MayHaveRun: true})
	f.fail(ids[2], Failed{Kind: core.FailReset, MayHaveRun: true})
	f.g.Expect(f.probes()).To(Equal([]string{"m00"}))
}

// crashWith lets a request with a fingerprint crash the upstream that it is sent to.
func (f *fixture) crashWith(fingerprint uint64) {
	id := f.arriveWith(fingerprint)
	upstream := f.lastSend(id).Upstream
	f.fail(id, Failed{Kind: core.FailTruncated, MayHaveRun: true})
	f.step(Probed{Upstream: upstream, Refused: true})
	f.restart(upstream)
	f.advance(time.Second)
}

// restart starts an upstream again.
func (f *fixture) restart(in Instance) {
	list := instances(len(f.upstreams) / 2)
	for i := range list {
		list[i].Started = f.upstreams[list[i].ID].Started
		if list[i].ID == in.ID {
			list[i].Started++
		}
	}
	f.step(InstancesChanged{Instances: list})
}

// arriveWith adds a request with a fingerprint and returns its id.
func (f *fixture) arriveWith(fingerprint uint64) string {
	f.seq++
	id := fmt.Sprint("r", f.seq)
	f.step(Arrive{&Request{
		ID: id, Organisation: "org", Route: draft, Service: model, Deadline: f.now.Add(15 * time.Second),
		Prompt: Prompt{Tokens: 600, MaxOutput: 300, Parts: []Part{{ID: uint64(f.seq) << 32, Tokens: 600}}}, Fingerprint: fingerprint,
	}})
	return id
}

// A request that has crashed three upstreams is refused at once, with the time until it may
// come back, here and at routers that have only heard of it; others are sent.
func TestRequestsThatCrashUpstreamsAreRefused(t *testing.T) {
	f, peer := newFixture(t, 4), newFixture(t, 4)
	for range 3 {
		f.crashWith(7)
	}
	id := f.arriveWith(7)
	refusal, ok := f.last[id].(Refuse)
	f.g.Expect(ok).To(BeTrue())
	f.g.Expect(refusal.Reason).To(Equal(ReasonCrashes))
	f.g.Expect(refusal.RetryAfter).To(BeNumerically("~", poison.BlockTime, time.Minute))
	f.lastSend(f.arriveWith(8))

	f.g.Expect(f.UnreportedTokens()).To(BeNumerically(">=", newsTokens))
	peer.now = f.now
	peer.step(PeerReported{Peer: "f", Report: f.Report(f.now)})
	id = peer.arriveWith(7)
	f.g.Expect(peer.last[id]).To(BeAssignableToTypeOf(Refuse{}))
}

// A request that may be what crashed an upstream is not sent to another one after it broke;
// one whose parts others have survived with is.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name     string
		survived bool
	}{{"suspected", false}, {"survived by others", true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 4)
			send := func() string {
				f.seq++
				id := fmt.Sprint("r", f.seq)
				f.step(Arrive{&Request{
					ID: id, Organisation: "org", Route: chat, Service: model, Deadline: f.now.Add(15 * time.Second), Fingerprint: uint64(f.seq),
					Prompt: Prompt{Tokens: 600, MaxOutput: 300, Parts: []Part{{ID: 7, Tokens: 300}, {ID: uint64(f.seq) << 32, Tokens: 300}}},
				}})
				return id
			}
			first := send()
			upstream := f.lastSend(first).Upstream
			f.fail(first, Failed{Kind: core.FailTruncated, MayHaveRun: true})
			f.step(Probed{Upstream: upstream, Refused: true})
			f.g.Expect(f.lastSend(first).Attempt).To(Equal(2))
			if c.survived {
				f.step(Done{ID: first, Attempt: 2})
			}
			second := send()
			f.fail(second, Failed{Kind: core.FailTruncated, MayHaveRun: true})
			if c.survived {
				f.g.Expect(f.lastSend(second).Attempt).To(Equal(2))
			} else {
				f.g.Expect(f.last[second]).To(Equal(Fail{ID: second, Reason: ReasonCrashes}))
			}
		})
	}
}

// A request that waits when a peer tells that its repetitions crash upstreams is not sent.
func TestWaitingRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	f := newFixture(t, 4)
	for f.Waiting() == 0 {
		f.arriveFor(fmt.Sprint("org", f.seq), draft, model, 600)
	}
	waiting := f.arriveWith(7)
	f.g.Expect(f.last).NotTo(HaveKey(waiting))
	f.step(PeerReported{Peer: "p", Report: Report{Crashes: []poison.Fact{
		{Kind: poison.FactBlocked, Trait: poison.Trait{Kind: poison.KindRequest, ID: 7}, Left: poison.BlockTime},
	}}})
	f.g.Expect(f.last[waiting]).To(BeAssignableToTypeOf(Refuse{}))
}

// A long stream that breaks because another request crashed its upstream is not suspected.
func TestLongStreamIsNotSuspected(t *testing.T) {
	f := newFixture(t, 4)
	for range 4 {
		id := f.arriveWith(7)
		s := f.lastSend(id)
		f.step(FirstByteReceived{ID: id, Attempt: s.Attempt})
		f.advance(2 * survivalTime)
		f.fail(id, Failed{Kind: core.FailTruncated, MayHaveRun: true, ResponseStarted: true})
		f.step(Probed{Upstream: s.Upstream, Refused: true})
		f.restart(s.Upstream)
		f.advance(time.Second)
	}
	f.lastSend(f.arriveWith(7))
}
