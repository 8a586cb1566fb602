package gateway

import (
	"fmt"

	"github.com/jujubeford/jujubeford/internal/configcheck"
	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// ContradictedLimits returns the limits of a configuration that a router with so many bytes
// of memory does not keep: its own bounds are tighter. Without a memory, bodies are not checked.
func ContradictedLimits(l routing.Limits, memory int64) (contradicted []configcheck.Contradiction) {
	add := func(field configcheck.Field, format string, args ...any) {
		contradicted = append(contradicted, configcheck.Contradiction{Field: field, Message: fmt.Sprintf(format, args...)})
	}
	if l.HeaderBytes > headerBytes {
		add(configcheck.HeaderBytes, "routers read headers of at most %d bytes", headerBytes)
	}
	if l.HeaderTimeout > headerTimeout {
		add(configcheck.HeaderTimeout, "routers wait for a header for %v at most", headerTimeout)
	}
	if l.IdleTimeout > idleTimeout {
		add(configcheck.IdleTimeout, "routers close connections that are unused for %v", idleTimeout)
	}
	if bodies := holding.New(memory).Limit(holding.LargeBodies); memory > 0 && l.BodyBytes > bodies {
		add(configcheck.BodyBytes, "a router holds %d bytes of large bodies together, of larger ones one at a time", bodies)
	}
	return contradicted
}

// Pieces returns in how many pieces routers pass a configuration of a size on to each other.
func Pieces(size int) int { return (size + pieceBytes - 1) / pieceBytes }
