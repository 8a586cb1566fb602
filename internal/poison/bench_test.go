package poison

import (
	"testing"
	"time"
)

// BenchmarkStorm measures a router of a fleet that learns of 40 crashes in a second, at each
// of which 50 requests were in flight.
func BenchmarkStorm(b *testing.B) {
	for range b.N {
		s := New()
		s.SetSettleTime(500 * time.Millisecond)
		n := 0
		for id := range RunID(40) {
			now := at(1 + float64(id)/40)
			var facts []Fact
			for i := range 50 {
				n++
				parts := []uint64{1, 2 + uint64(i%16), uint64(100 + n%300)}
				if i == 0 {
					parts[2] = poisonPart
				}
				var before uint64
				for _, t := range numbered(n, parts...).traits() {
					f := Fact{Kind: FactSuspect, Trait: t, Run: id, Proven: t.Kind == KindPart && t.ID < 50}
					if t.Kind == KindPart {
						f.Before, before = before, t.ID
					}
					facts = append(facts, f)
				}
				if len(facts) > 20 {
					s.Learn(now, facts)
					facts = facts[:0]
				}
			}
			s.Learn(now, facts)
			s.Tick(now)
		}
		s.Tick(at(3))
		if !blocked(s, at(3), numbered(0, poisonPart)) {
			b.Fatal("the poison part is not blocked")
		}
	}
}
