package faults

import (
	"context"
	"errors"
	"fmt"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
)

// accepted marks, for the steps, that a configuration was accepted.
type accepted struct{}

// submit puts a configuration in force in the store as an operator does.
func (f *fleet) submit(o *operator, cfg *config.Config, base uint64, name string) error {
	_, err := configstore.Submit(context.Background(), o, cfg, base, name)
	if err != nil {
		return err
	}
	head, err := configstore.Load(context.Background(), o)
	if err != nil {
		return err
	}
	f.heads = append(f.heads, head)
	return nil
}

// head is the configuration that was accepted last.
func (f *fleet) head() core.ConfigHead { return f.heads[len(f.heads)-1] }

// next is a configuration that differs from the one in force.
func (f *fleet) next() *config.Config {
	c := testConfig()
	c.Organisations[0].Share = len(f.heads) + 1
	return c
}

// accept submits the next generation; the store's watches then tell the routers.
func (f *fleet) accept() {
	o := &operator{store: f.store}
	name := fmt.Sprintf("submission-%d", len(f.heads))
	if err := f.submit(o, f.next(), f.head().Generation, name); err != nil {
		f.breaks("a configuration was not accepted: %v", err)
		return
	}
	f.mark(f.nodes[0], accepted{})
	f.fetchAll()
}

// race lets two operators submit different configurations on the same base; the
// second one's whole submission falls before the first one's write of the head.
func (f *fleet) race() {
	base := f.head().Generation
	first, second := f.next(), f.next()
	second.Organisations[1].Share = 17
	var won error
	o := &operator{store: f.store}
	o.before = map[string]func(){configstore.HeadKey: func() {
		won = f.submit(&operator{store: f.store}, second, base, fmt.Sprintf("second-%d", base))
	}}
	lost := f.submit(o, first, base, fmt.Sprintf("first-%d", base))
	var conflict *configstore.ConflictError
	if won != nil || !errors.As(lost, &conflict) {
		f.breaks("of two operators, one got %v and the other %v", won, lost)
	}
	f.fetchAll()
}

// fetchAll lets the routers' watches fire.
func (f *fleet) fetchAll() {
	for _, n := range f.nodes {
		if n.up {
			f.fetch(n)
		}
	}
}

// fetch answers a router's read of the configuration, if the store answers.
func (f *fleet) fetch(n *node) {
	if f.store.down || f.isolated(n) {
		return
	}
	head := f.head()
	if f.store.stale {
		head = f.heads[0]
	}
	f.later(n, storeDelay, head)
}

// decode answers a router's effect with what a peer sent.
func (f *fleet) decode(n *node, e core.DecodeConfig) {
	head, err := configstore.Decode(e.Parts.Head, e.Parts.Parts)
	if err != nil {
		f.breaks("%s got parts that do not decode: %v", n.name, err)
		return
	}
	f.later(n, linkDelay, head)
}

// applied checks that no router goes back. One that has lost its memory can
// know of a newer generation only from somebody whom it reaches.
func (f *fleet) applied(n *node, generation uint64) {
	if generation < n.force || generation < n.highest && len(n.linked) > 0 {
		f.breaks("%s applied generation %d after %d", n.id, generation, max(n.force, n.highest))
	}
	n.force, n.highest = generation, max(n.highest, generation)
}

// inForce checks that every router that can be reached has the generation that
// was accepted last.
func (f *fleet) inForce() {
	want := f.head().Generation
	for _, n := range f.nodes {
		if have := n.state.Status().Generation; n.up && !f.isolated(n) && have != want {
			f.breaks("%s has generation %d in force %s after healing, not %d", n.name, have, spreadTime, want)
		}
	}
}
