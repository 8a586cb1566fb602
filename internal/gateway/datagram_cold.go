package gateway

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/pace"
)

// fieldCold is the section of upstreams that are cold, that have started or that fail: the
// key, the cold time left, the failures, and the ages of the first of these and of the last bad
// and the last good answer, in milliseconds. Ages are sent plus 1, and 0 for never.
const fieldCold protowire.Number = 28

const (
	// maxColdLeft and maxPaceAge bound the cold time left and the ages that a datagram may
	// name, in milliseconds, and maxFailures the failures.
	maxColdLeft = 10 * 60 * 1000
	maxPaceAge  = 60 * 1000
	maxFailures = 1 << 16
)

func appendCold(b []byte, r dispatch.Report) []byte {
	var section []byte
	appendEntry := func(key uint32, p pace.Report) {
		section = binary.LittleEndian.AppendUint32(section, key)
		section = appendVarints(section, uint64(r.Cold[key]/time.Millisecond), uint64(max(0, p.Failures)), encodeAge(p.FirstAge), encodeAge(p.BadAge), encodeAge(p.GoodAge))
	}
	for key, p := range r.Pace {
		appendEntry(key, p)
	}
	for key := range r.Cold {
		if _, ok := r.Pace[key]; !ok {
			appendEntry(key, pace.Report{FirstAge: pace.Never, BadAge: pace.Never, GoodAge: pace.Never})
		}
	}
	return appendSection(b, fieldCold, section)
}

func encodeAge(age time.Duration) uint64 {
	if age < 0 {
		return 0
	}
	return uint64(age/time.Millisecond) + 1
}

func decodeAge(v uint64) time.Duration {
	if v == 0 {
		return pace.Never
	}
	return time.Duration(min(v-1, maxPaceAge)) * time.Millisecond
}

// decodeCold parses the section into a report; it returns false if it is malformed.
func decodeCold(section []byte, r *dispatch.Report) bool {
	in := sectionReader{b: section}
	for in.more() {
		if r.Cold == nil {
			r.Cold, r.Pace = make(map[uint32]time.Duration), make(map[uint32]pace.Report)
		}
		key := in.key()
		if left := min(in.number(), maxColdLeft); left > 0 {
			r.Cold[key] = time.Duration(left) * time.Millisecond
		}
		p := pace.Report{Failures: int(min(in.number(), maxFailures))}
		p.FirstAge, p.BadAge, p.GoodAge = decodeAge(in.number()), decodeAge(in.number()), decodeAge(in.number())
		if p.BadAge >= 0 || p.GoodAge >= 0 {
			r.Pace[key] = p
		}
	}
	return !in.failed
}
