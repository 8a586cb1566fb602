package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// crest is a load that is three times the engines' throughput for three seconds, and
// a third of it for the next six.
type crest struct {
	*world
	// free is when each engine has read what it was given.
	free map[string]time.Time
	// due are the events and the returns that are still to come.
	due []dueEvent
	// asked counts callers, served those that got an answer.
	asked, served int
}

type dueEvent struct {
	at time.Time
	do func()
}

func (c *crest) at(at time.Time, do func()) { c.due = append(c.due, dueEvent{at, do}) }

// call sends a caller's attempt; one that is refused comes back once, when it is told.
func (c *crest) call(org string, deadline time.Time, returned bool) {
	const tokens, rate = 10_000, 50_000
	c.seq++
	id := fmt.Sprint("c", c.seq)
	c.step(Arrive{&Request{
		ID: id, Organisation: org, Route: draft, Service: model, Deadline: deadline,
		Prompt: Prompt{Tokens: tokens, MaxOutput: 20, Parts: []Part{{ID: uint64(c.seq) << 32, Tokens: tokens}}},
	}})
	c.follow(id, func(s Send) {
		start := c.free[s.Upstream.ID]
		if start.Before(c.now) {
			start = c.now
		}
		end := start.Add(time.Second * tokens / rate)
		c.free[s.Upstream.ID] = end
		c.at(end, func() {
			c.served++
			c.step(Answered{ID: id, Attempt: s.Attempt})
			c.step(Done{ID: id, Attempt: s.Attempt})
		})
	}, func(e Refuse) {
		if !returned {
			c.at(c.now.Add(e.RetryAfter), func() { c.call(org, deadline, true) })
		}
	})
}

// follow waits for the effect on a request.
func (c *crest) follow(id string, sent func(Send), refused func(Refuse)) {
	switch e := c.last[id].(type) {
	case Send:
		sent(e)
	case Refuse:
		refused(e)
	default:
		c.at(c.now.Add(tickBusy), func() { c.follow(id, sent, refused) })
	}
}

// play lets three crests pass, and what is due after them.
func (c *crest) play() {
	const engines, perSecond, cycle, high = 4, 20.0, 9 * time.Second, 3 * time.Second
	w := c.world
	services := []routing.Service{{Name: model, Engine: &routing.Engine{Slots: 64, CacheTokens: 600_000, EventTokens: 5}}}
	w.step(TableChanged{Table: routing.NewTable(2, routing.Limits{TokenRate: 200_000}, nil, services, nil)})
	w.step(InstancesChanged{Instances: instances(engines)})
	owed := 0.0
	for passed := time.Duration(0); passed < 3*cycle+10*time.Second; passed += tickBusy {
		c.pass(tickBusy)
		now := c.due
		c.due = nil
		for _, e := range now {
			if e.at.After(c.now) {
				c.due = append(c.due, e)
				continue
			}
			e.do()
		}
		if passed >= 3*cycle {
			continue
		}
		rate := perSecond / 3
		if passed%cycle < high {
			rate = perSecond * 3
		}
		for owed += rate * tickBusy.Seconds(); owed >= 1; owed-- {
			c.asked++
			c.call(fmt.Sprint("org", c.asked%4), c.now.Add(15*time.Second), false)
		}
	}
}

// TestCallersOfACrestReturnWhenThereIsRoom: the engines could serve nine of eleven
// callers in all; at least two thirds of these get an answer, though each comes back
// only once. Told to come back after 0.2 to 2 s, mostly into the same crest, 323 of 659
// did.
func TestCallersOfACrestReturnWhenThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	c := &crest{world: newWorld(t, 4), free: make(map[string]time.Time)}
	c.play()
	g.Expect(c.served).To(BeNumerically(">=", c.asked*9/11*2/3), "of %d", c.asked)
}
