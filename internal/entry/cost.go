package entry

import "github.com/jujubeford/jujubeford/internal/core"

const (
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.1
	// longFactor is the multiple of a service's median cost above which a
	// request is classified as long.
	longFactor = 4
	// medianStep is the fraction by which each sample moves the running median.
	medianStep = 0.05
	// defaultCost is the expected cost for a service without samples.
	defaultCost = 100
)

// costEstimator estimates the cost of requests of one service, in the service's
// unit, from the costs of earlier ones.
type costEstimator struct {
	// costPerHint is the average cost per hinted unit, and meanCost the average
	// cost of a request, by organisation.
	costPerHint, meanCost map[string]float64
	// medianCost is a running median over all organisations.
	medianCost float64
	// medianGap is a running median of the time between tokens, in nanoseconds.
	medianGap float64
}

func (s *State) estimator(service string) *costEstimator {
	c := s.estimators[service]
	if c == nil {
		c = &costEstimator{costPerHint: make(map[string]float64), meanCost: make(map[string]float64)}
		s.estimators[service] = c
	}
	return c
}

// estimate returns the expected cost of a request.
func (c *costEstimator) estimate(org string, hint uint64) uint64 {
	if hint > 0 {
		if r, ok := c.costPerHint[org]; ok {
			return max(1, uint64(r*float64(hint)))
		}
		return hint
	}
	if m, ok := c.meanCost[org]; ok {
		return max(1, uint64(m))
	}
	if c.medianCost > 0 {
		return max(1, uint64(c.medianCost))
	}
	return defaultCost
}

// classify returns the size class of an expected cost.
func (c *costEstimator) classify(expected uint64) core.Class {
	if c.medianCost > 0 && float64(expected) > longFactor*c.medianCost {
		return core.ClassLong
	}
	return core.ClassShort
}

// observe adds the final cost of a request to the averages.
func (c *costEstimator) observe(org string, hint, cost uint64) {
	if hint > 0 {
		c.costPerHint[org] = movingAverage(c.costPerHint[org], float64(cost)/float64(hint))
	}
	c.meanCost[org] = movingAverage(c.meanCost[org], float64(cost))
	switch {
	case c.medianCost == 0:
		c.medianCost = float64(cost)
	case float64(cost) > c.medianCost:
		c.medianCost *= 1 + medianStep
	case float64(cost) < c.medianCost:
		c.medianCost *= 1 - medianStep
	}
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + averageWeight*(sample-old)
}
