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
	ModelName    = "assistant-1"
	PlainService = "booking"
	PlainPrefix  = "/booking/"
	// AtMostOncePath is the path of plain requests that must run at most once,
	// RepeatPath that of the others.
	AtMostOncePath = PlainPrefix + "reserve"
	IdempotentPath = PlainPrefix + "lookup"
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

// Config returns the configuration that load runs need. The error names every
// size that is out of bounds.
func Config(s Sizes) (*config.Config, error) {
	b := config.New("loadgen")
	b.Service(
		config.ModelService(ModelService, ModelName).
			Continuing().
			WithSlots(s.ModelSlots).
			WithWait(s.MaxWait).
			WithObjectives(config.Objectives{
				FirstToken: firstTokenObjective,
				TokenGap:   tokenGapObjective,
				Target:     objectiveTarget,
			}),
		config.PlainService(PlainService, PlainPrefix).
			WithSlots(s.PlainSlots).
			WithWait(s.MaxWait).
			Repeatable().
			RunOnce("POST", AtMostOncePath, "a booking must not be made twice").
			WithObjectives(config.Objectives{Answer: plainAnswerObjective, Target: objectiveTarget}),
	)
	for _, t := range Tenants(s.Organisations, s.Large) {
		b.Organisation(config.NewOrganisation(t.Name, t.Share).
			WithKey(t.Key()).
			WithQueue(s.MaxQueued).
			Reaching(ModelService, PlainService))
	}
	return b.Build()
}

// The objectives of the services.
const (
	firstTokenObjective  = 1600 * time.Millisecond
	tokenGapObjective    = 42 * time.Millisecond
	plainAnswerObjective = time.Second
	objectiveTarget      = 0.95
)
