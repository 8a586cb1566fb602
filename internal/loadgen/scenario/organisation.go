package scenario

import (
	"fmt"
	"time"

	"github.com/jujubeford/jujubeford/config"
)

// Organisation is an organisation that sends requests in a load run.
type Organisation struct {
	Name  string
	Share int
}

// Key returns the API key of the organisation. It is derived from the name and is
// not a secret.
func (o Organisation) Key() string { return "example-key-" + o.Name }

// LargeShare is the share of a large organisation; all others have a share of 1.
const LargeShare = 6

// Organisations returns n organisations, of which the first large ones have the share
// LargeShare.
func Organisations(n, large int) []Organisation {
	organisations := make([]Organisation, n)
	for i := range organisations {
		organisations[i] = Organisation{Name: fmt.Sprintf("org-%04d", i+1), Share: 1}
		if i < large {
			organisations[i].Share = LargeShare
		}
	}
	return organisations
}

// Names and paths of the services that load runs use.
const (
	ModelService = "assistant"
	ModelName    = "assistant-1"
	PlainService = "booking"
	PlainPrefix  = "/booking/"
	// AtMostOncePath is the path of plain requests that must run at most once,
	// IdempotentPath the path of plain requests that may be repeated.
	AtMostOncePath = PlainPrefix + "reserve"
	IdempotentPath = PlainPrefix + "lookup"
)

// Sizes are the parameters of a router configuration for load runs.
type Sizes struct {
	// Organisations is the number of organisations. The first Large of them have a
	// large share.
	Organisations int
	Large         int
	// ModelSlots and PlainSlots are the slots of each engine and of each plain
	// upstream.
	ModelSlots int
	PlainSlots int
	// MaxQueued is the number of requests of one organisation that may wait at
	// one router.
	MaxQueued int
	// MaxWait is the longest time that a request may wait for a slot.
	MaxWait time.Duration
}

// Config returns the router configuration for load runs. The error lists every
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
	for _, org := range Organisations(s.Organisations, s.Large) {
		b.Organisation(config.NewOrganisation(org.Name, org.Share).
			WithKey(org.Key()).
			WithQueue(s.MaxQueued).
			Reaching(ModelService, PlainService))
	}
	return b.Build()
}

// Service level objectives of the services.
const (
	firstTokenObjective  = 1600 * time.Millisecond
	tokenGapObjective    = 42 * time.Millisecond
	plainAnswerObjective = time.Second
	objectiveTarget      = 0.95
)
