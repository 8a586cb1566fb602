package holding

import (
	"slices"
	"time"
)

// Kind is a kind of memory that is held for others.
type Kind int

const (
	// Heads are heads of requests, beyond what each connection may hold unaccounted.
	Heads Kind = iota
	// SmallBodies and LargeBodies are bodies of requests, from the room for them being
	// taken until their requests end. They are kept apart, so that large ones do not hold up
	// small ones.
	SmallBodies
	LargeBodies
	// Unread is what the kernel receives of bodies that wait for room.
	Unread
	// Ahead are parts of streams that their callers have not read yet.
	Ahead
	// Answers are answers that are read whole before they are forwarded. Their own part is
	// kept by the reader; here they count towards the total.
	Answers
	kindCount
)

// Name is the kind's name in logs and metrics.
func (k Kind) Name() string {
	return [...]string{"heads", "small-bodies", "large-bodies", "unread", "ahead", "answers"}[k]
}

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Heads, SmallBodies, LargeBodies, Unread, Ahead, Answers} }

// parts are the shares of the memory that each kind may take, and totalPart that of all
// together. The rest is for connections, the process itself and garbage not yet collected.
var parts = [kindCount]float64{
	Heads: 1.0 / 16, SmallBodies: 1.0 / 8, LargeBodies: 3.0 / 16, Unread: 1.0 / 16, Ahead: 1.0 / 8, Answers: 1.0 / 4,
}

const totalPart = 0.5

// progressShare is the share of its size by which a body has to grow within the stall time:
// a body of any size then arrives within ten times that.
const progressShare = 0.1

// Holder is one request or connection for which memory is held. The zero value holds nothing.
type Holder struct {
	// Caller names those whose requests are weighed together.
	Caller string
	// Owner is not used here.
	Owner any

	kind Kind
	held int64
	// waiting is set while the holder waits for wanted bytes of wantedKind; unread is what it
	// is charged meanwhile.
	waiting    bool
	wantedKind Kind
	wanted     int64
	unread     int64
	// settled means that the holder cannot give way any more.
	settled bool
	// moved is how much has arrived, and marked what had at markedAt, when the body last was
	// seen to make progress.
	moved, marked int64
	markedAt      time.Time
}

// Kind is the kind of what is held, or was held last.
func (h *Holder) Kind() Kind { return h.kind }

// Held is the number of bytes that are held.
func (h *Holder) Held() int64 { return h.held }

// Outcome says what became of a request for room.
type Outcome int

const (
	// Refused: there is no room to wait either.
	Refused Outcome = iota
	// Granted: the room is taken.
	Granted
	// Waiting: the holder is among those that Release, Shrink or Tick grant room to.
	Waiting
)

// State is the account. It is not safe for concurrent use.
type State struct {
	limits [kindCount]int64
	total  int64
	// held is the memory held by kind, and sum all of it.
	held [kindCount]int64
	sum  int64
	// holders hold something, and queue waits, the longest first.
	holders map[*Holder]struct{}
	queue   []*Holder
	// bodies is what the bodies of each caller take.
	bodies map[string]int64
}

// New returns the account of a process with a memory in bytes; 0 means no bound.
func New(memory int64) *State {
	s := &State{holders: make(map[*Holder]struct{}), bodies: make(map[string]int64), total: int64(totalPart * float64(memory))}
	for k, share := range parts {
		s.limits[k] = int64(share * float64(memory))
	}
	return s
}

// Limit is the number of bytes that may be held of a kind, 0 if that is not bounded.
func (s *State) Limit(k Kind) int64 { return s.limits[k] }

// Held is the number of bytes that are held of a kind.
func (s *State) Held(k Kind) int64 { return s.held[k] }

// Waiting is the number of holders that wait for room.
func (s *State) Waiting() int { return len(s.queue) }

// fits reports whether n more bytes of a kind fit. The first of its kind always does: a single
// request is served whatever its size.
func (s *State) fits(k Kind, n int64) bool {
	return s.total == 0 || s.held[k] == 0 || s.held[k]+n <= s.limits[k] && s.sum+n <= s.total
}

func (s *State) add(k Kind, n int64) {
	s.held[k] += n
	s.sum += n
}

// change adds n bytes, which may be negative, to what a holder has.
func (s *State) change(h *Holder, n int64) {
	h.held += n
	s.add(h.kind, n)
	if h.kind == SmallBodies || h.kind == LargeBodies {
		if s.bodies[h.Caller] += n; s.bodies[h.Caller] == 0 {
			delete(s.bodies, h.Caller)
		}
	}
	if h.held == 0 {
		delete(s.holders, h)
	} else {
		s.holders[h] = struct{}{}
	}
}

// Note adds n bytes, which may be negative, to a kind that is bounded elsewhere.
func (s *State) Note(k Kind, n int64) { s.add(k, n) }

// Grow takes n more bytes for a holder that cannot wait. The holders of the kind that hold most
// and are not settled give way until there is room, and are returned; h itself may be among them.
func (s *State) Grow(h *Holder, k Kind, n int64) (gaveWay []*Holder) {
	for !s.fits(k, n) {
		victim, most := h, h.held+n
		for other := range s.holders {
			if other != h && other.kind == k && !other.settled && other.held > most {
				victim, most = other, other.held
			}
		}
		s.drop(victim)
		gaveWay = append(gaveWay, victim)
		if victim == h {
			return gaveWay
		}
	}
	h.kind = k
	s.change(h, n)
	return gaveWay
}

// drop takes everything from a holder.
func (s *State) drop(h *Holder) {
	s.change(h, -h.held)
	s.leaveQueue(h)
}

func (s *State) leaveQueue(h *Holder) {
	if !h.waiting {
		return
	}
	h.waiting = false
	s.add(Unread, -h.unread)
	s.queue = slices.DeleteFunc(s.queue, func(o *Holder) bool { return o == h })
}

// Await asks for room for n bytes in place of what the holder has. unread is what the kernel
// may receive while the holder waits.
func (s *State) Await(now time.Time, h *Holder, k Kind, n, unread int64) Outcome {
	h.wantedKind, h.wanted, h.unread = k, n, unread
	if s.next(k) == nil && s.fits(k, n) {
		s.grant(now, h)
		return Granted
	}
	if s.total > 0 && s.held[Unread]+unread > s.limits[Unread] {
		return Refused
	}
	h.waiting = true
	s.add(Unread, unread)
	s.queue = append(s.queue, h)
	return Waiting
}

func (s *State) grant(now time.Time, h *Holder) {
	s.leaveQueue(h)
	s.change(h, -h.held)
	h.kind, h.marked, h.markedAt = h.wantedKind, h.moved, now
	s.change(h, h.wanted)
}

// next is the one that gets room of a kind next: of the caller that holds least the one that
// has waited longest; nil if none waits.
func (s *State) next(k Kind) *Holder {
	var best *Holder
	for _, h := range s.queue {
		if h.wantedKind == k && (best == nil || s.bodies[h.Caller] < s.bodies[best.Caller]) {
			best = h
		}
	}
	return best
}

// Moved records that n more bytes of a body have arrived.
func (s *State) Moved(now time.Time, h *Holder, n int64) {
	h.moved += n
	if float64(h.moved-h.marked) >= progressShare*float64(h.held) {
		h.marked, h.markedAt = h.moved, now
	}
}

// Settle records that a body or a head has arrived whole with n bytes: the rest of its room is
// free, and it gives way no more. It returns the holders that have got room.
func (s *State) Settle(now time.Time, h *Holder, n int64) (granted []*Holder) {
	h.settled = true
	if n < h.held {
		s.change(h, n-h.held)
	}
	return s.grantAll(now)
}

// Release frees what a holder has, or ends its wait, and returns the holders that have got room.
func (s *State) Release(now time.Time, h *Holder) (granted []*Holder) {
	s.drop(h)
	return s.grantAll(now)
}

func (s *State) grantAll(now time.Time) (granted []*Holder) {
	for _, k := range []Kind{SmallBodies, LargeBodies} {
		for h := s.next(k); h != nil && s.fits(k, h.wanted); h = s.next(k) {
			s.grant(now, h)
			granted = append(granted, h)
		}
	}
	return granted
}

// Tick makes bodies that have made no progress for the stall time give way to those that wait
// for room of their kind, those of the caller that holds most first.
func (s *State) Tick(now time.Time, stall time.Duration) (gaveWay, granted []*Holder) {
	for _, k := range []Kind{SmallBodies, LargeBodies} {
		for h := s.next(k); h != nil; h = s.next(k) {
			if s.fits(k, h.wanted) {
				s.grant(now, h)
				granted = append(granted, h)
				continue
			}
			victim := s.stalled(now, k, stall)
			if victim == nil {
				break
			}
			s.drop(victim)
			gaveWay = append(gaveWay, victim)
		}
	}
	return gaveWay, granted
}

// stalled is a body of a kind that has made no progress for the stall time: of the caller that
// holds most the one that has made none for longest. It is nil if there is none.
func (s *State) stalled(now time.Time, k Kind, stall time.Duration) (worst *Holder) {
	for h := range s.holders {
		if h.kind != k || h.settled || now.Sub(h.markedAt) < stall {
			continue
		}
		if worst == nil {
			worst = h
			continue
		}
		a, b := s.bodies[h.Caller], s.bodies[worst.Caller]
		if a > b || a == b && h.markedAt.Before(worst.markedAt) {
			worst = h
		}
	}
	return worst
}
