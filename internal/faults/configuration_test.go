package faults

import (
	"context"
	"errors"
	"fmt"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/configstore"
	"github.com/jujubeford/jujubeford/internal/core"
)

// configAccepted is the event that a configuration was accepted.
type configAccepted struct{}

// submit submits a configuration to the store as an operator does.
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

// latestConfig returns the configuration that was accepted last.
func (f *fleet) latestConfig() core.ConfigHead { return f.acceptedConfigs[len(f.acceptedConfigs)-1] }

// nextConfig returns a configuration that differs from all accepted ones.
func (f *fleet) nextConfig() *config.Config {
	c := testConfig()
	c.Organisations[0].Share = len(f.acceptedConfigs) + 1
	return c
}

// submitNext submits the next generation and delivers it to the routers, as their
// watches of the store do.
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

// raceSubmissions has two operators submit different configurations with the same
// base. The second submission is executed as a whole just before the first one
// writes the head. The second must succeed and the first fail with a conflict.
func (f *fleet) raceSubmissions() {
	base := f.latestConfig().Generation
	first, second := f.nextConfig(), f.nextConfig()
	second.Organisations[1].Share = 17
	var secondErr error
	o := &operator{store: f.store}
	o.before = map[string]func(){configstore.HeadKey: func() {
		secondErr = f.submit(&operator{store: f.store}, second, base, fmt.Sprintf("second-%d", base))
	}}
	firstErr := f.submit(o, first, base, fmt.Sprintf("first-%d", base))
	var conflict *configstore.ConflictError
	if secondErr != nil || !errors.As(firstErr, &conflict) {
		f.recordViolation("racing submissions: the second got %v, want no error; the first %v, want a conflict", secondErr, firstErr)
	}
	f.deliverConfigToAll()
}

// deliverConfigToAll delivers the configuration to all running routers.
func (f *fleet) deliverConfigToAll() {
	for _, n := range f.nodes {
		if n.up {
			f.deliverConfig(n)
		}
	}
}

// deliverConfig delivers the configuration to a router that can reach the store.
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

// decodeConfig decodes the parts of a configuration that a router received from a
// peer and delivers the result.
func (f *fleet) decodeConfig(n *node, e core.DecodeConfig) {
	head, err := configstore.Decode(e.Parts.Head, e.Parts.Parts)
	if err != nil {
		f.recordViolation("%s got parts that do not decode: %v", n.name, err)
		return
	}
	f.deliverLater(n, linkDelay, head)
}

// checkApplied checks that no router goes back to an older generation. After a
// restart a router can know of a newer generation only if it reaches a peer.
func (f *fleet) checkApplied(n *node, generation uint64) {
	if generation < n.appliedGeneration || generation < n.maxGeneration && len(n.linked) > 0 {
		f.recordViolation("%s applied generation %d after %d", n.id, generation, max(n.appliedGeneration, n.maxGeneration))
	}
	n.appliedGeneration, n.maxGeneration = generation, max(n.maxGeneration, generation)
}

// checkConfigInForce checks that every running router that reaches the platform
// has applied the generation that was accepted last.
func (f *fleet) checkConfigInForce() {
	want := f.latestConfig().Generation
	for _, n := range f.nodes {
		if have := n.state.Status().Generation; n.up && !f.cutFromPlatform(n) && have != want {
			f.recordViolation("%s has generation %d in force %s after the last fault, want %d", n.name, have, configSpreadTime, want)
		}
	}
}
