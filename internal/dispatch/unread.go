package dispatch

import "time"

// A prompt is unread from the time when it is sent until the first byte of its answer, as far
// as a router can see. Where engines take long to set up an answer, they read the next
// prompts meanwhile: counted as unread for so long, prompts make idle engines look busy,
// callers are refused, and what engines may have together is taken for less than it is.

const (
	// longSetup is the setup time, as a multiple of the usual one, from which on prompts count
	// as read before their first byte.
	longSetup = 3
	// overdueAfter is how long after its first byte was due a prompt counts as unread again:
	// its upstream is slower than expected.
	overdueAfter = 100 * time.Millisecond
)

// firstToken returns the time to the first byte of an answer to an empty prompt.
func (s *State) firstToken(service string) time.Duration {
	if setup := s.speeds.Setup(service); setup > longSetup*s.options.FirstToken {
		return setup
	}
	return s.options.FirstToken
}

// assumeRead takes the prompts off the unread ones that upstreams should have read, and
// puts back those whose first byte is overdue.
func (s *State) assumeRead(now time.Time) {
	for _, r := range s.requests {
		if r.upstream == nil || r.firstByteReceived || r.load.Prefill+r.assumedRead == 0 {
			continue
		}
		setup := s.firstToken(r.Service)
		read := setup > s.options.FirstToken && !now.Before(r.readBy) && now.Before(r.readBy.Add(setup+overdueAfter))
		if read == (r.assumedRead > 0) {
			continue
		}
		tokens := r.load.Prefill
		if read {
			r.assumedRead = tokens
		} else {
			tokens = -r.assumedRead
			r.assumedRead = 0
		}
		r.load.Prefill -= tokens
		r.upstream.local.Prefill -= tokens
		s.unreportedTokens += max(tokens, -tokens)
	}
}
