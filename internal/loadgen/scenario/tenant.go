package scenario

import (
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/config"
)

// Tenant is an organisation of a load run.
type Tenant struct {
	Name  string
	Share int
}

// Key is the API key of the tenant; it is an example and no secret.
func (t Tenant) Key() string { return "example-key-" + t.Name }

// LargeShare is the share of a large organisation; all others have 1.
const LargeShare = 6

// Tenants returns n organisations of which the first large have a large share.
func Tenants(n, large int) []Tenant {
	tenants := make([]Tenant, n)
	for i := range tenants {
		tenants[i] = Tenant{Name: fmt.Sprintf("org-%04d", i+1), Share: 1}
		if i < large {
			tenants[i].Share = LargeShare
		}
	}
	return tenants
}

// The services of a load run.
const (
	ModelService = "assistant"
	PlainService = "booking"
	PlainPrefix  = "/booking/"
	ModelName    = "assistant-1"
)

// Sizes are the sizes of a configuration for load runs.
type Sizes struct {
	Organisations int
	Large         int
	ModelSlots    int
	PlainSlots    int
	MaxQueued     int
	MaxWait       time.Duration
}

// Config returns the configuration that load runs need.
func Config(s Sizes) *config.Config {
	c := &config.Config{
		Fleet: "loadgen",
		Services: []config.Service{
			modelService(s),
			plainService(s),
		},
	}
	for _, t := range Tenants(s.Organisations, s.Large) {
		c.Organisations = append(c.Organisations, config.Organisation{
			Name:      t.Name,
			Share:     t.Share,
			Keys:      []string{digest(t.Key())},
			Services:  []string{ModelService, PlainService},
			MaxQueued: s.MaxQueued,
		})
	}
	return c
}

func modelService(s Sizes) config.Service {
	return config.Service{
		Name:        ModelService,
		Kind:        config.Model,
		Model:       ModelName,
		Slots:       s.ModelSlots,
		MaxWait:     s.MaxWait,
		SilentAfter: silentAfter,
		Idempotent:  true,
		Objectives: config.Objectives{
			FirstToken: 1600 * time.Millisecond,
			TokenGap:   42 * time.Millisecond,
			Target:     0.95,
		},
	}
}

func plainService(s Sizes) config.Service {
	return config.Service{
		Name:        PlainService,
		Kind:        config.Plain,
		Prefix:      PlainPrefix,
		Slots:       s.PlainSlots,
		MaxWait:     s.MaxWait,
		SilentAfter: silentAfter,
		Idempotent:  true,
		Once: []config.Once{{
			Method: "POST",
			Path:   PlainPrefix,
			Why:    "a booking must not be made twice",
		}},
		Objectives: config.Objectives{Answer: time.Second, Target: 0.95},
	}
}

const silentAfter = 5 * time.Second
