package faults

import (
	"context"
	"errors"
	"fmt"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
)

// configAccepted marks, for the steps, that a configuration was accepted.
type configAccepted struct{}

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
	f.acceptedConfigs = append(f.acceptedConfigs, head)
	return nil
}

// latestConfig is the configuration that was accepted last.
func (f *fleet) latestConfig() core.ConfigHead { return f.acceptedConfigs[len(f.acceptedConfigs)-1] }

// nextConfig is a configuration that differs from the one in force.
func (f *fleet) nextConfig() *config.Config {
	c := testConfig()
	c.Organisations[0].Share = len(f.acceptedConfigs) + 1
	return c
}

// submitNext submits the next generation; the store's watches then tell the routers.
func (f *fleet) submitNext() {
	o := &operator{store: f.store}
	name := fmt.Sprintf("submission-%d", len(f.acceptedConfigs))
	if err := f.submit(o, f.nextConfig(), f.latestConfig().Generation, name); err != nil {
		f.recordViolation("a configuration was not accepted: %v", err)
		return
	}
	f.observe(f.nodes[0], configAccepted{})
	f.deliverConfigToAll()
}

// raceSubmissions lets two operators submit different configurations on the same base; the
// second one's whole submission falls before the first one's write of the head.
func (f *fleet) raceSubmissions() {
	base := f.latestConfig().Generation
	first, second := f.nextConfig(), f.nextConfig()
	second.Organisations[1].Share = 17
	var won error
	o := &operator{store: f.store}
	o.before = map[string]func(){configstore.HeadKey: func() {
		won = f.submit(&operator{store: f.store}, second, base, fmt.Sprintf("second-%d", base))
	}}
	lost := f.submit(o, first, base, fmt.Sprintf("first-%d", base))
	var conflict *configstore.ConflictError
	if won != nil || !errors.As(lost, &conflict) {
		f.recordViolation("of two operators, one got %v and the other %v", won, lost)
	}
	f.deliverConfigToAll()
}

// deliverConfigToAll lets the routers' watches fire.
func (f *fleet) deliverConfigToAll() {
	for _, n := range f.nodes {
		if n.up {
			f.deliverConfig(n)
		}
	}
}

// deliverConfig answers a router's read of the configuration, if the store answers.
func (f *fleet) deliverConfig(n *node) {
	if f.store.down || f.cutFromPlatform(n) {
		return
	}
	head := f.latestConfig()
	if f.store.stale {
		head = f.acceptedConfigs[0]
	}
	f.deliverLater(n, storeDelay, head)
}

// decodeConfig answers a router's effect with what a peer sent.
func (f *fleet) decodeConfig(n *node, e core.DecodeConfig) {
	head, err := configstore.Decode(e.Parts.Head, e.Parts.Parts)
	if err != nil {
		f.recordViolation("%s got parts that do not decode: %v", n.name, err)
		return
	}
	f.deliverLater(n, linkDelay, head)
}

// checkApplied checks that no router goes back. One that has lost its memory can
// know of a newer generation only from somebody whom it reaches.
func (f *fleet) checkApplied(n *node, generation uint64) {
	if generation < n.appliedGeneration || generation < n.maxGeneration && len(n.linked) > 0 {
		f.recordViolation("%s applied generation %d after %d", n.id, generation, max(n.appliedGeneration, n.maxGeneration))
	}
	n.appliedGeneration, n.maxGeneration = generation, max(n.maxGeneration, generation)
}

// checkConfigInForce checks that every router that can be reached has the generation that
// was accepted last.
func (f *fleet) checkConfigInForce() {
	want := f.latestConfig().Generation
	for _, n := range f.nodes {
		if have := n.state.Status().Generation; n.up && !f.cutFromPlatform(n) && have != want {
			f.recordViolation("%s has generation %d in force %s after healing, not %d", n.name, have, configSpreadTime, want)
		}
	}
}
