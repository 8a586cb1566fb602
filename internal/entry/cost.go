package entry

import "github.com/jujubeford/jujubeford/internal/core"

const (
	// averageWeight is the weight of a new cost in the running means.
	averageWeight = 0.1
	// longFactor times the usual cost of a service makes a request long.
	longFactor = 4
	// medianStep moves the running median by this fraction for each cost.
	medianStep = 0.05
	// defaultCost is expected of a service that nothing is known of.
	defaultCost = 100
)

// costEstimator learns what requests of one service cost, in the service's unit.
type costEstimator struct {
	// costPerHint is cost per hinted unit, mean is cost without a hint, by
	// organisation.
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

// estimate is the expected cost of a request.
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

// classify is the size class that an expected cost falls into.
func (c *costEstimator) classify(expected uint64) core.Class {
	if c.medianCost > 0 && float64(expected) > longFactor*c.medianCost {
		return core.ClassLong
	}
	return core.ClassShort
}

// observe takes the final cost of a request.
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

func movingAverage(old, reading float64) float64 {
	if old == 0 {
		return reading
	}
	return old + averageWeight*(reading-old)
}
