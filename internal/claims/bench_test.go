package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

// BenchmarkOperation measures the CPU time of one operation that runs and is
// recorded, without its key-value calls.
func BenchmarkOperation(b *testing.B) {
	s, now := New("r0.1"), time.Unix(1000, 0)
	answer := make([]byte, 512)
	ok := func(effects []core.Effect) {
		s.Step(now, core.KVResult{Op: opOf(effects[0]), Status: core.KVOK, Index: 1})
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		r := core.RequestID(fmt.Sprint("q", i))
		effects, _ := s.Begin(now, operation(r, i, 0))
		ok(effects)
		s.MarkSent(now, r)
		ok(s.Finish(now, r, 200, answer))
		s.Step(now, core.Tick{})
	}
}
