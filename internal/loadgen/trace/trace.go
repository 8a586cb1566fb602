// Package trace turns a scenario into the requests of a run. The same scenario,
// capacity and number of routers give the same requests.
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

// Request is one request and when, by whom and where it is sent.
type Request struct {
	ID int
	// SendAt is the intended time of sending, from the begin of the run.
	SendAt       time.Duration
	Phase        int
	Organisation int
	Kind         int
	Router       int
	// Tokens is the length of the answer; 0 for a plain request.
	Tokens int
	// Name is unique in the run, but for the second sending of a request with a
	// key; upstreams see it as the request's id.
	Name string
	// Prompt is the text of a model request; it holds the name.
	Prompt string
	// Key is the idempotency key, if any.
	Key string
	// Duplicate marks the second sending of an earlier request.
	Duplicate bool
}

// Trace is all requests of a run, by time.
type Trace struct {
	Scenario *scenario.Scenario
	Tenants  []scenario.Tenant
	Requests []Request
}

// Site is what a trace depends on besides the scenario.
type Site struct {
	Routers int
	// TokenRate is the capacity of the engines in tokens a second.
	TokenRate float64
	// Salt makes prompts and keys of different runs differ.
	Salt string
}

// duplicateDelay is the time between the first and the second sending of a request.
const duplicateDelay = 30 * time.Millisecond

// New makes the trace of a scenario.
func New(s *scenario.Scenario, params Site) (*Trace, error) {
	if params.Routers < 1 || params.TokenRate <= 0 {
		return nil, errors.New("a trace needs routers and a token rate")
	}
	g := &generator{
		scenario: s,
		params:   params,
		tenants:  s.Tenants(),
		rand:     rand.New(rand.NewPCG(s.Seed, s.Seed^0x6a756a75)),
	}
	g.accumulateDemand()
	for kind := range s.Kinds {
		g.addArrivals(kind)
		if len(g.requests) > scenario.MaxRequests {
			return nil, errors.Errorf("more than %d requests", scenario.MaxRequests)
		}
	}
	slices.SortStableFunc(g.requests, func(a, b Request) int { return cmp.Compare(a.SendAt, b.SendAt) })
	for i := range g.requests {
		g.requests[i].ID = i
	}
	return &Trace{Scenario: s, Tenants: g.tenants, Requests: g.requests}, nil
}

type generator struct {
	scenario *scenario.Scenario
	params   Site
	tenants  []scenario.Tenant
	rand     *rand.Rand
	// cumulativeDemand is the cumulative demand of the organisations.
	cumulativeDemand []float64
	requests         []Request
}

// accumulateDemand works out the cumulative demand.
func (g *generator) accumulateDemand() {
	total := 0.0
	for _, t := range g.tenants {
		weight := g.baseDemand(t)
		if factor, ok := g.scenario.Demand[t.Name]; ok {
			weight *= factor
		}
		total += weight
		g.cumulativeDemand = append(g.cumulativeDemand, total)
	}
}

// demandScale is the demand of all organisations over what it is without the factors
// of single ones: a flood adds load and does not take it from others.
func (g *generator) demandScale() float64 {
	base := 0.0
	for _, t := range g.tenants {
		base += g.baseDemand(t)
	}
	return g.cumulativeDemand[len(g.cumulativeDemand)-1] / base
}

// baseDemand is the demand of an organisation without its own factor.
func (g *generator) baseDemand(t scenario.Tenant) float64 {
	if g.scenario.Equal {
		return 1
	}
	return float64(t.Share)
}

// baseRate is the number of requests a second of a kind before the phase's factor.
func (g *generator) baseRate(k scenario.Kind) float64 {
	if k.Service == scenario.PlainService {
		return k.Rate
	}
	mean := float64(k.MinTokens+k.MaxTokens) / 2
	return k.Load * g.params.TokenRate / mean * g.demandScale()
}

// loadFactor is the level of demand of a kind at a time.
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

// addArrivals adds a Poisson process whose rate follows the phases.
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
		r.Prompt = fmt.Sprintf("%s asks %s", g.tenants[organisation].Name, r.Name)
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

func (g *generator) pickOrganisation() int {
	point := g.rand.Float64() * g.cumulativeDemand[len(g.cumulativeDemand)-1]
	i, _ := slices.BinarySearch(g.cumulativeDemand, point)
	return min(i, len(g.tenants)-1)
}

func (g *generator) pickRouter(organisation int) int {
	pinned := g.scenario.Pinned
	if first := len(g.tenants) - pinned.Organisations; organisation >= first {
		return organisation % min(pinned.Routers, g.params.Routers)
	}
	return g.rand.IntN(g.params.Routers)
}

// OfferedTokens is the work of the requests sent in a window, in tokens.
func (t *Trace) OfferedTokens(begin, end time.Duration) float64 {
	sum := 0.0
	for _, r := range t.Requests {
		if r.SendAt >= begin && r.SendAt < end {
			sum += float64(r.Tokens)
		}
	}
	return sum
}
