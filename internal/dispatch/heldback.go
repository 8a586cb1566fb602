package dispatch

import (
	"math"
	"slices"

	"github.com/jujubeford/jujubeford/internal/routing"
)

// heldBack is what the requests of a queue that found no room mean for those after them, by
// the regions that they are allowed in and by whether they may be repeated: an upstream that is
// down gets only those that may.
type heldBack []heldIn

// heldIn is what those with the same choice found.
type heldIn struct {
	regions    routing.Regions
	repeatable bool
	// tokens is the length of the prompt from which on there is no room, and memory the need
	// from which on there is no memory.
	tokens, memory int
}

// covers reports whether a request has no choice beyond that.
func (h *heldIn) covers(r *request) bool {
	if r.Route.Kind.Repeatable() && !h.repeatable {
		return false
	}
	return !h.regions.Restricted || r.regions.Restricted && slices.Equal(h.regions.Names, r.regions.Names)
}

// noRoom reports whether an earlier request found no room where this one may go. One that
// failed on an upstream may also use those of the other workload class.
func (h heldBack) noRoom(r *request) bool {
	return len(r.failedUpstreams) == 0 && slices.ContainsFunc(h, func(in heldIn) bool { return in.covers(r) && r.Prompt.Tokens >= in.tokens })
}

// noMemory reports whether an earlier request that needs no more found no memory. It says
// nothing of memory that is kept for this one.
func (h heldBack) noMemory(r *request) bool {
	return r.reserved == nil && slices.ContainsFunc(h, func(in heldIn) bool { return in.covers(r) && memoryNeed(r, 0) >= in.memory })
}

// addRoom adds a request that found no room. Shorter prompts may be read in time to spare.
func (h *heldBack) addRoom(r *request, engine bool) {
	in := h.in(r)
	in.tokens = 0
	if engine && r.class == classPrefill && r.sends == 0 {
		in.tokens = r.Prompt.Tokens
	}
}

// addMemory adds a request that found no memory.
func (h *heldBack) addMemory(r *request) {
	in := h.in(r)
	in.memory = min(in.memory, memoryNeed(r, 0))
}

func (h *heldBack) in(r *request) *heldIn {
	repeatable := r.Route.Kind.Repeatable()
	for i := range *h {
		in := &(*h)[i]
		if in.repeatable == repeatable && in.regions.Restricted == r.regions.Restricted && slices.Equal(in.regions.Names, r.regions.Names) {
			return in
		}
	}
	*h = append(*h, heldIn{regions: r.regions, repeatable: repeatable, tokens: math.MaxInt, memory: math.MaxInt})
	return &(*h)[len(*h)-1]
}
