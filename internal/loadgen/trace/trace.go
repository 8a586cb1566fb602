// Package trace generates the requests of a run from a scenario. The same
// scenario and parameters always produce the same requests.
package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/scenario"
)

// Request is one request, with its send time, its organisation and the router
// that it is sent to.
type Request struct {
	// ID is the index in Trace.Requests.
	ID int
	// SendAt is the intended send time since the start of the run.
	SendAt time.Duration
	// Phase and Kind are indexes into the scenario's lists, Organisation is an
	// index into Trace.Organisations, and Router into the routers of the fleet.
	Phase        int
	Organisation int
	Kind         int
	Router       int
	// Tokens is the length of the expected answer; 0 for a plain request.
	Tokens int
	// Name identifies the request; only the duplicate of a request has the same
	// name. Upstreams receive it as the request id.
	Name string
	// Prompt is the text of a model request, which contains the name; empty for a
	// plain request.
	Prompt string
	// Key is the idempotency key; empty if the request may run more than once.
	Key string
	// Duplicate reports whether this is the second send of an earlier request.
	Duplicate bool
}

// Trace holds all requests of a run, ordered by send time.
type Trace struct {
	Scenario      *scenario.Scenario
	Organisations []scenario.Organisation
	Requests      []Request
}

// Params holds the parameters of a trace that don't come from the scenario.
type Params struct {
	// Routers is the number of routers in the fleet.
	Routers int
	// TokenRate is the capacity of all engines in tokens per second.
	TokenRate float64
	// Salt is a prefix that makes names, prompts and keys differ between runs.
	Salt string
}

// duplicateDelay is the time between a request and its duplicate.
const duplicateDelay = 30 * time.Millisecond

// New generates the trace of a scenario.
func New(s *scenario.Scenario, params Params) (*Trace, error) {
	if params.Routers < 1 || params.TokenRate <= 0 {
		return nil, errors.New("a trace needs at least 1 router and a positive token rate")
	}
	g := &generator{
		scenario:      s,
		params:        params,
		organisations: s.ListOrganisations(),
		rand:          rand.New(rand.NewPCG(s.Seed, s.Seed^0x6a756a75)),
	}
	g.accumulateDemand()
	for kind := range s.Kinds {
		g.addArrivals(kind)
		if len(g.requests) > scenario.MaxRequests {
			return nil, errors.Errorf("the scenario produces more than %d requests", scenario.MaxRequests)
		}
	}
	slices.SortStableFunc(g.requests, func(a, b Request) int { return cmp.Compare(a.SendAt, b.SendAt) })
	for i := range g.requests {
		g.requests[i].ID = i
	}
	return &Trace{Scenario: s, Organisations: g.organisations, Requests: g.requests}, nil
}

// generator builds the requests of a trace. All draws come from one random
// generator that is seeded with the scenario's seed.
type generator struct {
	scenario      *scenario.Scenario
	params        Params
	organisations []scenario.Organisation
	rand          *rand.Rand
	// cumulativeDemand[i] is the total demand of the organisations up to and
	// including i.
	cumulativeDemand []float64
	requests         []Request
}

// accumulateDemand computes cumulativeDemand.
func (g *generator) accumulateDemand() {
	total := 0.0
	for _, org := range g.organisations {
		weight := g.baseDemand(org)
		if factor, ok := g.scenario.Demand[org.Name]; ok {
			weight *= factor
		}
		total += weight
		g.cumulativeDemand = append(g.cumulativeDemand, total)
	}
}

// demandScale returns the total demand relative to the total without the
// scenario's per-organisation multipliers. Scaling the load by it makes the
// excess demand of one organisation add to the load instead of reducing that of
// the others.
func (g *generator) demandScale() float64 {
	base := 0.0
	for _, org := range g.organisations {
		base += g.baseDemand(org)
	}
	return g.cumulativeDemand[len(g.cumulativeDemand)-1] / base
}

// baseDemand returns the demand of an organisation before its multiplier from the
// scenario is applied.
func (g *generator) baseDemand(org scenario.Organisation) float64 {
	if g.scenario.Equal {
		return 1
	}
	return float64(org.Share)
}

// baseRate returns the number of requests per second of a kind before the load
// factor of the phase is applied.
func (g *generator) baseRate(k scenario.Kind) float64 {
	if k.Service == scenario.PlainService {
		return k.Rate
	}
	mean := float64(k.MinTokens+k.MaxTokens) / 2
	return k.Load * g.params.TokenRate / mean * g.demandScale()
}

// loadFactor returns the load factor of a kind at time t. It is 0 if the phase
// excludes the kind. During a phase's ramp, it changes linearly from the factor of
// the previous phase to that of the phase.
func (g *generator) loadFactor(kind scenario.Kind, t time.Duration) float64 {
	index := g.scenario.PhaseAt(t)
	phase := g.scenario.Phases[index]
	if len(phase.Only) > 0 && !slices.Contains(phase.Only, kind.Name) {
		return 0
	}
	begin, _, _ := g.scenario.Window(phase.Name)
	if since := t - begin; index > 0 && since < phase.Ramp {
		previous := g.scenario.Phases[index-1].Factor
		progress := since.Seconds() / phase.Ramp.Seconds()
		return previous + (phase.Factor-previous)*progress
	}
	return phase.Factor
}

// addArrivals adds the requests of one kind as a Poisson process whose rate
// follows the phases. It draws arrivals at the peak rate and keeps each with a
// probability of its load factor over the peak (thinning).
func (g *generator) addArrivals(kindIndex int) {
	k := g.scenario.Kinds[kindIndex]
	peak := 0.0
	for _, p := range g.scenario.Phases {
		peak = max(peak, p.Factor)
	}
	rate := g.baseRate(k) * peak
	end := g.scenario.Duration()
	for t := 0.0; ; {
		t += g.rand.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at >= end || len(g.requests) > scenario.MaxRequests {
			return
		}
		if g.rand.Float64()*peak < g.loadFactor(k, at) {
			g.addRequest(kindIndex, at)
		}
	}
}

// addRequest adds a request that is sent at a given time, and its duplicate if one
// is drawn.
func (g *generator) addRequest(kindIndex int, at time.Duration) {
	k := g.scenario.Kinds[kindIndex]
	organisation := g.pickOrganisation()
	r := Request{
		SendAt:       at,
		Phase:        g.scenario.PhaseAt(at),
		Organisation: organisation,
		Kind:         kindIndex,
		Router:       g.pickRouter(organisation),
	}
	r.Name = fmt.Sprintf("%s-%s-%d", g.params.Salt, k.Name, len(g.requests))
	if k.Service == scenario.ModelService {
		r.Tokens = k.MinTokens + g.rand.IntN(k.MaxTokens-k.MinTokens+1)
		r.Prompt = fmt.Sprintf("%s asks %s", g.organisations[organisation].Name, r.Name)
	}
	if k.AtMostOnce {
		r.Key = r.Name
	}
	g.requests = append(g.requests, r)
	if k.DuplicateFraction > 0 && g.rand.Float64() < k.DuplicateFraction {
		r.SendAt += duplicateDelay
		r.Router = (r.Router + 1) % g.params.Routers
		r.Duplicate = true
		g.requests = append(g.requests, r)
	}
}

// pickOrganisation draws an organisation with a probability proportional to its
// demand.
func (g *generator) pickOrganisation() int {
	point := g.rand.Float64() * g.cumulativeDemand[len(g.cumulativeDemand)-1]
	i, _ := slices.BinarySearch(g.cumulativeDemand, point)
	return min(i, len(g.organisations)-1)
}

// pickRouter draws a router at random, or returns the fixed router of a pinned
// organisation.
func (g *generator) pickRouter(organisation int) int {
	pinned := g.scenario.Pinned
	if first := len(g.organisations) - pinned.Organisations; organisation >= first {
		return organisation % min(pinned.Routers, g.params.Routers)
	}
	return g.rand.IntN(g.params.Routers)
}

// OfferedTokens returns the total tokens of the requests whose send time lies in
// [begin, end).
func (t *Trace) OfferedTokens(begin, end time.Duration) float64 {
	sum := 0.0
	for _, r := range t.Requests {
		if r.SendAt >= begin && r.SendAt < end {
			sum += float64(r.Tokens)
		}
	}
	return sum
}
