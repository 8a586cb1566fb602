// Package scenario defines the load scenarios and the organisations, services
// and router configuration that load runs use.
package scenario

import (
	"bytes"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Limits of a scenario. They keep a mistake in a scenario file from loading the
// machine for long.
const (
	MaxDuration = 10 * time.Minute
	MaxRequests = 200_000
)

// Scenario describes one load run: the organisations and their demand, the kinds
// of requests, the phases of the load and the faults to inject.
type Scenario struct {
	Name  string `yaml:"name"`
	About string `yaml:"about"`
	Seed  uint64 `yaml:"seed"`
	// Organisations is the number of organisations that send requests. The first
	// Large of them have a large share.
	Organisations int `yaml:"organisations"`
	Large         int `yaml:"large"`
	// Demand holds a multiplier for the demand of single organisations, by name.
	// Without one, an organisation's demand is proportional to its share.
	Demand map[string]float64 `yaml:"demand"`
	// Equal gives all organisations the same demand, instead of one proportional to
	// their shares, before the multipliers in Demand are applied.
	Equal  bool    `yaml:"equal"`
	Pinned Pinned  `yaml:"pinned"`
	Kinds  []Kind  `yaml:"kinds"`
	Phases []Phase `yaml:"phases"`
	Events []Event `yaml:"events"`
	// Drain is how long to wait for outstanding answers after the last phase.
	Drain time.Duration `yaml:"drain"`
	// GapBound is the upper bound on the service gap between two organisations,
	// in tokens per unit of share; 0 means no bound.
	GapBound float64 `yaml:"gap_bound"`
	// PeakPhase is the name of the phase with the highest demand; empty if the
	// scenario has none.
	PeakPhase string `yaml:"crest"`
	// Contrast selects a kind of request to compare between two phases, if any.
	Contrast *Contrast `yaml:"contrast"`
}

// Contrast selects a kind of request whose answer times are compared between two
// phases: With, in which a disturbance such as long requests or slow engines is
// present, and Without, in which it is absent.
type Contrast struct {
	Kind    string `yaml:"kind"`
	With    string `yaml:"with"`
	Without string `yaml:"without"`
}

// Pinned restricts some organisations to a few routers.
type Pinned struct {
	// Organisations is the number of pinned organisations, counted from the end
	// of the list.
	Organisations int `yaml:"organisations"`
	// Routers is the number of routers that receive the requests of pinned
	// organisations, counted from the start of the list.
	Routers int `yaml:"routers"`
}

// Kind describes one kind of request.
type Kind struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Load is the offered load of model requests, as a fraction of the engines'
	// capacity in tokens.
	Load float64 `yaml:"load"`
	// Rate is the number of plain requests per second.
	Rate float64 `yaml:"rate"`
	// MinTokens and MaxTokens bound the length of an answer to a model request.
	MinTokens int `yaml:"min_tokens"`
	MaxTokens int `yaml:"max_tokens"`
	// AtMostOnce gives each request an idempotency key, so that it must run at
	// most once.
	AtMostOnce bool `yaml:"once"`
	// DuplicateFraction is the fraction of requests that are sent a second time,
	// through another router.
	DuplicateFraction float64 `yaml:"again"`
}

// Phase is a period of the run with its own level of demand.
type Phase struct {
	Name     string        `yaml:"name"`
	Duration time.Duration `yaml:"duration"`
	// Factor multiplies the load of all kinds of requests; 0 means 1.
	Factor float64 `yaml:"factor"`
	// Ramp is the time at the start of the phase during which the factor changes
	// linearly from that of the previous phase.
	Ramp time.Duration `yaml:"ramp"`
	// Only lists the kinds of requests to send; empty means all.
	Only []string `yaml:"only"`
}

// Action is the type of a fault.
type Action string

// Types of faults.
const (
	// Slow makes the target engines slower by Event.Factor for Event.Duration.
	Slow Action = "slow"
	// Kill sends SIGKILL to the target routers. The load generator doesn't start
	// them again; scripts/fleet.sh can.
	Kill Action = "kill"
	// Partition cuts off the failure domains of the target routers for
	// Event.Duration.
	Partition Action = "partition"
)

// Event is a fault that is injected during the run.
type Event struct {
	// At is the time of the fault since the start of the run.
	At     time.Duration `yaml:"at"`
	Action Action        `yaml:"action"`
	// Targets are indexes into the engines (for Slow) or the routers (for Kill
	// and Partition) of the fleet file.
	Targets []int `yaml:"targets"`
	// Factor is the slowdown of a slowed engine: 5 means a fifth of the speed.
	Factor float64 `yaml:"factor"`
	// Duration is how long a Slow or a Partition lasts.
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

// Parse decodes and checks a scenario in YAML. Unknown fields are errors.
func Parse(text []byte) (*Scenario, error) {
	s := &Scenario{Seed: 1, Organisations: 16, Large: 3, Drain: 20 * time.Second}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil {
		return nil, errors.Wrap(err, "decode scenario")
	}
	for i := range s.Phases {
		if s.Phases[i].Factor == 0 {
			s.Phases[i].Factor = 1
		}
	}
	return s, s.Check()
}

// Duration returns the time during which requests are sent: the sum of all
// phases.
func (s *Scenario) Duration() time.Duration {
	var d time.Duration
	for _, p := range s.Phases {
		d += p.Duration
	}
	return d
}

// ListOrganisations returns the organisations that send requests, Organisations in
// number.
func (s *Scenario) ListOrganisations() []Organisation { return Organisations(s.Organisations, s.Large) }

// PhaseAt returns the index of the phase at time t of the run; after the end of
// the last phase, it returns the index of the last.
func (s *Scenario) PhaseAt(t time.Duration) int {
	for i, p := range s.Phases {
		if t < p.Duration {
			return i
		}
		t -= p.Duration
	}
	return len(s.Phases) - 1
}

// Window returns the start and end of a phase, as times since the start of the
// run, or false if there is no phase of that name.
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

// KindIndex returns the index of the kind with the given name, or -1.
func (s *Scenario) KindIndex(name string) int {
	return slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
}
