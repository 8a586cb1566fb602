// Package scenario holds the load scenarios and the organisations, services and
// configuration that they assume.
package scenario

import (
	"bytes"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Limits of a scenario, so that a slip in a file cannot load a machine for long.
const (
	MaxDuration = 10 * time.Minute
	MaxRequests = 200_000
)

// Scenario is one experiment: who sends what, when and where, and what fails.
type Scenario struct {
	Name  string `yaml:"name"`
	About string `yaml:"about"`
	Seed  uint64 `yaml:"seed"`
	// Organisations is how many organisations send; Large of them have a large
	// share.
	Organisations int `yaml:"organisations"`
	Large         int `yaml:"large"`
	// Demand multiplies the demand of single organisations, which is otherwise
	// in proportion to their shares.
	Demand map[string]float64 `yaml:"demand"`
	// Equal makes the demand of all organisations equal instead.
	Equal  bool    `yaml:"equal"`
	Pinned Pinned  `yaml:"pinned"`
	Kinds  []Kind  `yaml:"kinds"`
	Phases []Phase `yaml:"phases"`
	Events []Event `yaml:"events"`
	// Drain is how long answers are awaited after the last phase.
	Drain time.Duration `yaml:"drain"`
	// GapBound is the bound on the service gap, in tokens per unit of share; 0
	// if none is given.
	GapBound float64 `yaml:"gap_bound"`
	// PeakPhase names the phase of highest demand, if the scenario has one.
	PeakPhase string `yaml:"crest"`
	// Contrast compares one kind of request between two phases.
	Contrast *Contrast `yaml:"contrast"`
}

// Contrast names a kind of request and the two phases in which its answer times
// are compared.
type Contrast struct {
	Kind    string `yaml:"kind"`
	With    string `yaml:"with"`
	Without string `yaml:"without"`
}

// Pinned sends most organisations to a few routers only.
type Pinned struct {
	// Organisations is how many are pinned, from the last one back.
	Organisations int `yaml:"organisations"`
	// Routers is how many routers, from the first one on, take them.
	Routers int `yaml:"routers"`
}

// Kind is one kind of request.
type Kind struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Load is the offered load as a fraction of the engines' capacity, for model
	// requests.
	Load float64 `yaml:"load"`
	// Rate is the number of requests a second, for plain requests.
	Rate float64 `yaml:"rate"`
	// MinTokens and MaxTokens bound the length of an answer.
	MinTokens int `yaml:"min_tokens"`
	MaxTokens int `yaml:"max_tokens"`
	// AtMostOnce marks requests with an idempotency key, which must run at most once.
	AtMostOnce bool `yaml:"once"`
	// DuplicateFraction is the fraction that is sent a second time through another router.
	DuplicateFraction float64 `yaml:"again"`
}

// Phase is a part of the run with its own level of demand.
type Phase struct {
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	// Factor multiplies the load of all kinds; 0 means 1.
	Factor float64 `yaml:"factor"`
	// Ramp is the time in which demand changes from the phase before.
	Ramp time.Duration `yaml:"ramp"`
	// Only names the kinds that are sent; empty means all.
	Only []string `yaml:"only"`
}

// Action is what an event does.
type Action string

// The actions.
const (
	// Slow makes engines slower by Factor for a while.
	Slow Action = "slow"
	// Kill kills a router by its process id; scripts/fleet.sh starts it again.
	Kill Action = "kill"
	// Partition cuts a failure domain off.
	Partition Action = "partition"
)

// Event is a fault at a time of the run.
type Event struct {
	At     time.Duration `yaml:"at"`
	Action Action        `yaml:"action"`
	// Targets are positions of engines or routers in the fleet file, from 0.
	Targets []int `yaml:"targets"`
	// Factor is how many times slower a slowed engine is.
	Factor float64 `yaml:"factor"`
	// Duration is how long it lasts.
	Duration time.Duration `yaml:"for"`
}

// Load reads and checks a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	s, err := Parse(text)
	return s, errors.Wrap(err, path)
}

// Parse reads and checks a scenario.
func Parse(text []byte) (*Scenario, error) {
	s := &Scenario{Seed: 1, Organisations: 16, Large: 3, Drain: 20 * time.Second}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	for i := range s.Phases {
		if s.Phases[i].Factor == 0 {
			s.Phases[i].Factor = 1
		}
	}
	return s, s.Validate()
}

// Duration is the time during which requests are sent.
func (s *Scenario) Duration() time.Duration {
	var d time.Duration
	for _, p := range s.Phases {
		d += p.Duration
	}
	return d
}

// Tenants returns the organisations that send.
func (s *Scenario) Tenants() []Tenant { return Tenants(s.Organisations, s.Large) }

// PhaseAt returns the position of the phase that covers a time of the run.
func (s *Scenario) PhaseAt(t time.Duration) int {
	for i, p := range s.Phases {
		if t < p.Duration {
			return i
		}
		t -= p.Duration
	}
	return len(s.Phases) - 1
}

// Window returns the begin and end of a phase, or false if there is none of
// that name.
func (s *Scenario) Window(phase string) (begin, end time.Duration, ok bool) {
	for _, p := range s.Phases {
		end = begin + p.Duration
		if p.Name == phase {
			return begin, end, true
		}
		begin = end
	}
	return 0, 0, false
}

// KindIndex is the position of a kind, or -1.
func (s *Scenario) KindIndex(name string) int {
	return slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
}
