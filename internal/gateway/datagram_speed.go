package gateway

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jujubeford/jujubeford/internal/speed"
)

const fieldSpeeds protowire.Number = 30

// maxSpeedTime bounds the times that a datagram may name, in milliseconds.
const maxSpeedTime = 1 << 32

// appendSpeeds appends the section of measured speeds: the key of a run, the work and the
// time in milliseconds.
func appendSpeeds(b []byte, speeds map[uint32]speed.Sum) []byte {
	section := make([]byte, 0, 10*len(speeds))
	for run, sum := range speeds {
		section = binary.LittleEndian.AppendUint32(section, run)
		section = appendVarints(section, uint64(sum.Work/time.Millisecond), uint64(sum.Time/time.Millisecond))
	}
	return appendSection(b, fieldSpeeds, section)
}

// decodeSpeeds parses the section of measured speeds; nil if there is none.
func decodeSpeeds(b []byte) (map[uint32]speed.Sum, error) {
	if len(b) == 0 {
		return nil, nil
	}
	speeds := make(map[uint32]speed.Sum)
	in := sectionReader{b: b}
	for in.more() {
		run := in.key()
		speeds[run] = speed.Sum{
			Work: time.Duration(min(in.number(), maxSpeedTime)) * time.Millisecond,
			Time: time.Duration(min(in.number(), maxSpeedTime)) * time.Millisecond,
		}
	}
	if in.failed {
		return nil, errDatagram
	}
	return speeds, nil
}
