package configstore

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/store"
)

// sampleConfig returns a small configuration. The share distinguishes versions.
func sampleConfig(share int) *config.Config {
	cfg, err := config.New("fleet").
		Service(config.ModelService("assistant", "m")).
		Organisation(config.NewOrganisation("atlanta", share).WithKey("example-key-atlanta").Reaching("assistant")).
		Build()
	if err != nil {
		panic(err)
	}
	return cfg
}

// submit calls Submit without delays between attempts.
func submit(store store.Store, share int, base uint64, name string) (Result, error) {
	s := submitter{ctx: context.Background(), store: store, sleep: func(context.Context, time.Duration) {}}
	return s.submit(sampleConfig(share), base, name)
}

// inForce returns the generation in force and its organisation's share.
func inForce(t *testing.T, store store.Store) (uint64, int) {
	t.Helper()
	head, err := Load(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	if head.Config == nil {
		return 0, 0
	}
	return head.Generation, head.Config.Organisations[0].Share
}

func TestSubmitUnderFaults(t *testing.T) {
	head, part, get := call{"cas", "head"}, call{"cas", "part"}, call{"get", "head"}
	unavailableThroughout := []fault{unavailable, unavailable, unavailable, unavailable, unavailable}
	requestsLost := []fault{requestLost, requestLost, requestLost, requestLost, requestLost}
	tests := []struct {
		name   string
		faults map[call][]fault
		err    error
		share  int
	}{
		{"no fault", nil, nil, 20},
		{"head request lost", map[call][]fault{head: {requestLost}}, nil, 20},
		{"head response lost", map[call][]fault{head: {responseLost}}, nil, 20},
		{"head write delayed", map[call][]fault{head: {delayed}}, nil, 20},
		{"head request lost, then response lost", map[call][]fault{head: {requestLost, responseLost}}, nil, 20},
		{"head requests always lost", map[call][]fault{head: requestsLost}, ErrOutcomeUnknown, 10},
		{"head response lost, then short outage", map[call][]fault{head: {responseLost}, get: {0, unavailable, unavailable}}, nil, 20},
		{"head response lost, then long outage", map[call][]fault{head: {responseLost}, get: append([]fault{0}, unavailableThroughout...)}, ErrOutcomeUnknown, 20},
		{"part request lost", map[call][]fault{part: {requestLost}}, nil, 20},
		{"part response lost", map[call][]fault{part: {responseLost}}, nil, 20},
		{"part write delayed", map[call][]fault{part: {delayed}}, nil, 20},
		{"outage before the parts are written", map[call][]fault{part: unavailableThroughout}, store.ErrUnavailable, 10},
		{"outage between parts and head", map[call][]fault{head: unavailableThroughout}, store.ErrUnavailable, 10},
		{"outage before the head is read", map[call][]fault{get: unavailableThroughout}, store.ErrUnavailable, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			store := newFakeStore()
			_, err := submit(store, 10, 0, "first")
			g.Expect(err).NotTo(HaveOccurred())
			if test.faults != nil {
				store.faults = test.faults
			}
			result, err := submit(store, 20, 1, "second")
			if test.err != nil {
				g.Expect(err).To(MatchError(test.err))
			} else {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(result.Generation).To(Equal(uint64(2)))
			}
			store.faults = map[call][]fault{}
			_, share := inForce(t, store)
			g.Expect(share).To(Equal(test.share))

			repeated, err := submit(store, 20, 1, "second")
			g.Expect(err).NotTo(HaveOccurred(), "repeating the submission is safe")
			g.Expect(repeated.Generation).To(Equal(uint64(2)))
			generation, share := inForce(t, store)
			g.Expect(generation).To(Equal(uint64(2)))
			g.Expect(share).To(Equal(20))
		})
	}
}

func TestRaceOfTwoOperators(t *testing.T) {
	tests := []struct {
		name string
		// The rival submits just before this call of the other operator.
		before call
		// rivalFault is the fault of that call; 0 means none.
		rivalFault fault
	}{
		{"rival wins before the parts", call{"list", "part"}, 0},
		{"rival wins between parts and head", call{"cas", "head"}, 0},
		{"rival wins, the loser's response is lost", call{"cas", "head"}, responseLost},
		{"rival wins, the loser's write is delayed", call{"cas", "head"}, delayed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			store := newFakeStore()
			store.beforeCall = func(c call) {
				if c != test.before {
					return
				}
				store.beforeCall = nil
				_, err := submit(store, 30, 0, "rival")
				g.Expect(err).NotTo(HaveOccurred())
				if test.rivalFault != 0 {
					store.faults[c] = []fault{test.rivalFault}
				}
			}
			_, err := submit(store, 20, 0, "loser")
			var conflict *ConflictError
			g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
			g.Expect(conflict.InForce.Submission).To(Equal("rival"))
			_, share := inForce(t, store)
			g.Expect(share).To(Equal(30))
		})
	}
}

// TestLostResponseIsResolvedAfterNextGeneration checks that a submission whose
// response was lost is found to be accepted although another operator's submission
// has already replaced the head.
func TestLostResponseIsResolvedAfterNextGeneration(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	store.faults[call{"cas", "head"}] = []fault{responseLost}
	headReads := 0
	store.beforeCall = func(c call) {
		if c != (call{"get", "head"}) {
			return
		}
		if headReads++; headReads == 2 {
			store.beforeCall = nil
			_, err := submit(store, 30, 1, "next")
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	result, err := submit(store, 20, 0, "first")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Generation).To(Equal(uint64(1)))
	generation, share := inForce(t, store)
	g.Expect(generation).To(Equal(uint64(2)))
	g.Expect(share).To(Equal(30))
}

func TestSubmitRejects(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	_, err := submit(store, 10, 0, "first")
	g.Expect(err).NotTo(HaveOccurred())
	before := store.index

	_, err = submit(store, 20, 0, "stale")
	g.Expect(err).To(MatchError("conflict: based on generation 0, but generation 1 is in force, by submission first"))
	_, err = submit(store, 20, 0, "first")
	g.Expect(err).To(MatchError(ErrSubmissionReused))
	_, err = submit(store, 20, 1, "")
	g.Expect(err).To(HaveOccurred())
	unchanged, err := submit(store, 10, 1, "same")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unchanged.Unchanged).To(BeTrue())
	invalid := sampleConfig(10)
	invalid.Organisations[0].Share = 0
	_, err = Submit(context.Background(), store, invalid, 1, "bad")
	g.Expect(err).To(MatchError(ContainSubstring("organisations[0].share")))
	g.Expect(store.index).To(Equal(before), "nothing was written")
}

func TestOldPartsAreDeleted(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	for i := range 12 {
		_, err := submit(store, 10+i, uint64(i), fmt.Sprint("submission-", i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	// The head, the shared services part, and an organisations part and a manifest
	// for each kept generation.
	g.Expect(store.entries).To(HaveLen(2 + 2*keptGenerations))
	generation, share := inForce(t, store)
	g.Expect(generation).To(Equal(uint64(12)))
	g.Expect(share).To(Equal(21))
}

func TestDamagedPartIsRewritten(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	_, err := submit(store, 10, 0, "first")
	g.Expect(err).NotTo(HaveOccurred())
	parts, err := sampleConfig(10).Split()
	g.Expect(err).NotTo(HaveOccurred())
	key := PartPrefix + parts[0].Digest
	ok, err := store.CAS(context.Background(), key, []byte("damaged"), store.entries[key].Index)
	g.Expect(ok, err).To(BeTrue())
	_, err = submit(store, 20, 1, "second")
	g.Expect(err).NotTo(HaveOccurred())
	_, share := inForce(t, store)
	g.Expect(share).To(Equal(20))
}

// TestDelayedDeleteSparesReusedPart checks that a part that was marked for deletion
// and is used again is not removed by a delete that arrives late.
func TestDelayedDeleteSparesReusedPart(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	for i := range 4 {
		_, err := submit(store, 10+i, uint64(i), fmt.Sprint("submission-", i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	del := call{"delete", "part"}
	store.faults[del] = []fault{unavailable}
	_, err := submit(store, 14, 4, "marks")
	g.Expect(err).NotTo(HaveOccurred())
	current, err := (&submitter{ctx: context.Background(), store: store}).readSnapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current.manifest.MarkedForDeletion).NotTo(BeEmpty())

	_, err = submit(store, 10, 5, "reuses")
	g.Expect(err).NotTo(HaveOccurred())
	for _, part := range current.manifest.MarkedForDeletion {
		_, err := store.Delete(context.Background(), PartPrefix+part.Digest, part.Index)
		g.Expect(err).NotTo(HaveOccurred())
	}
	generation, share := inForce(t, store)
	g.Expect(generation).To(Equal(uint64(6)))
	g.Expect(share).To(Equal(10))
}
