package entry

import "github.com/jujubeford/jujubeford/internal/core"

const (
	// costWeight is the weight of a new cost in the running means.
	costWeight = 0.1
	// longFactor times the usual cost of a service makes a request long.
	longFactor = 4
	// medianStep moves the running median by this fraction for each cost.
	medianStep = 0.05
	// firstCost is expected of a service that nothing is known of.
	firstCost = 100
)

// costs learns what requests of one service cost, in the service's unit.
type costs struct {
	// ratio is cost per hinted unit, mean is cost without a hint, by
	// organisation.
	ratio, mean map[string]float64
	// usual is a running median over all organisations.
	usual float64
	// gap is a running median of the time between tokens, in nanoseconds.
	gap float64
}

func (s *State) cost(service string) *costs {
	c := s.costs[service]
	if c == nil {
		c = &costs{ratio: make(map[string]float64), mean: make(map[string]float64)}
		s.costs[service] = c
	}
	return c
}

// expect is the expected cost of a request.
func (c *costs) expect(org string, hint uint64) uint64 {
	if hint > 0 {
		if r, ok := c.ratio[org]; ok {
			return max(1, uint64(r*float64(hint)))
		}
		return hint
	}
	if m, ok := c.mean[org]; ok {
		return max(1, uint64(m))
	}
	if c.usual > 0 {
		return max(1, uint64(c.usual))
	}
	return firstCost
}

// class is the size class that an expected cost falls into.
func (c *costs) class(expected uint64) core.Class {
	if c.usual > 0 && float64(expected) > longFactor*c.usual {
		return core.ClassLong
	}
	return core.ClassShort
}

// learn takes the final cost of a request.
func (c *costs) learn(org string, hint, cost uint64) {
	if hint > 0 {
		c.ratio[org] = blend(c.ratio[org], float64(cost)/float64(hint))
	}
	c.mean[org] = blend(c.mean[org], float64(cost))
	switch {
	case c.usual == 0:
		c.usual = float64(cost)
	case float64(cost) > c.usual:
		c.usual *= 1 + medianStep
	case float64(cost) < c.usual:
		c.usual *= 1 - medianStep
	}
}

func blend(old, reading float64) float64 {
	if old == 0 {
		return reading
	}
	return old + costWeight*(reading-old)
}
