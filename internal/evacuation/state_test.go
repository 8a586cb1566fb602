package evacuation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func outcomes(changes []Change) (list []string) {
	for _, c := range changes {
		list = append(list, c.Domain+" "+c.Outcome.String())
	}
	return list
}

// Two evacuations one after the other, which overlap.
func TestEvacuationsFollowTheRequests(t *testing.T) {
	g, s := NewWithT(t), New()
	g.Expect(outcomes(s.Update(epoch, 1, []string{"a"}))).To(Equal([]string{"a began"}))
	g.Expect(outcomes(s.Update(epoch.Add(time.Second), 1, []string{"b", "a"}))).To(Equal([]string{"b began"}))
	g.Expect(s.Domains()).To(Equal(map[string]time.Time{"a": epoch, "b": epoch.Add(time.Second)}))
	g.Expect(outcomes(s.Update(epoch.Add(time.Minute), 1, []string{"b"}))).To(Equal([]string{"a ended"}))
	g.Expect(s.Update(epoch.Add(time.Minute), 1, []string{"b"})).To(BeEmpty())
	g.Expect(outcomes(s.Update(epoch.Add(time.Minute), 1, nil))).To(Equal([]string{"b ended"}))
	g.Expect(s.Domains()).To(BeEmpty())
}

// The operator writes again what a restored store has lost; until then the evacuation holds.
func TestEvacuationOutlivesARestoredStore(t *testing.T) {
	g, s := NewWithT(t), New()
	s.Update(epoch, 1, []string{"a", "b"})
	g.Expect(outcomes(s.Update(epoch, 2, nil))).To(Equal([]string{"a retained", "b retained"}))
	g.Expect(s.Expire(epoch.Add(RestoreGrace - 1))).To(BeEmpty())
	g.Expect(outcomes(s.Update(epoch.Add(time.Second), 2, []string{"a"}))).To(Equal([]string{"a confirmed"}))
	g.Expect(outcomes(s.Expire(epoch.Add(RestoreGrace)))).To(Equal([]string{"b ended"}))
	g.Expect(s.Domains()).To(Equal(map[string]time.Time{"a": epoch}))
	g.Expect(outcomes(s.Update(epoch.Add(time.Minute), 2, nil))).To(Equal([]string{"a ended"}), "it is taken back")
}

// In any order of requests and restores, each request that the store has is in force, and one
// that it lacks is in force only within the grace period after a restore.
func TestEvacuationsAreThoseOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, s, now, era := NewWithT(t), New(), epoch, uint64(1)
		restoredAt := epoch.Add(-time.Hour)
		requested := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID[string])
		current := []string{}
		s.Update(now, era, current)
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				current = requested.Draw(t, "requested")
				s.Update(now, era, current)
			},
			"restore": func(t *rapid.T) {
				era, restoredAt = era+1, now
				current = requested.Draw(t, "copy")
				s.Update(now, era, current)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				s.Expire(now)
			},
			"": func(*rapid.T) {
				for _, domain := range current {
					g.Expect(s.Domains()).To(HaveKey(domain))
				}
				if now.Sub(restoredAt) >= RestoreGrace {
					g.Expect(s.Domains()).To(HaveLen(len(current)))
				}
			},
		})
	})
}

// A store that is restored again loses what the operator has written in between, also what this
// router has not read.
func TestEvacuationOutlivesASecondRestore(t *testing.T) {
	g, s := NewWithT(t), New()
	s.Update(epoch, 1, []string{"a"})
	s.Update(epoch, 2, nil)
	again := epoch.Add(RestoreGrace - time.Second)
	g.Expect(s.Update(again, 3, nil)).To(BeEmpty())
	g.Expect(s.Expire(epoch.Add(RestoreGrace))).To(BeEmpty())
	g.Expect(outcomes(s.Expire(again.Add(RestoreGrace)))).To(Equal([]string{"a ended"}))
}
