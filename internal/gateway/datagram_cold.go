package gateway

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// fieldCold is the section of cold upstreams: the key and the time left, in milliseconds.
const fieldCold protowire.Number = 28

// maxColdLeft bounds the time left that a datagram may name, in milliseconds.
const maxColdLeft = 10 * 60 * 1000

func appendCold(b []byte, cold map[uint32]time.Duration) []byte {
	var section []byte
	for key, left := range cold {
		section = binary.LittleEndian.AppendUint32(section, key)
		section = appendVarints(section, uint64(left/time.Millisecond))
	}
	return appendSection(b, fieldCold, section)
}

// decodeCold parses the section; ok is false if it is malformed.
func decodeCold(section []byte) (cold map[uint32]time.Duration, ok bool) {
	in := sectionReader{b: section}
	for in.more() {
		if cold == nil {
			cold = make(map[uint32]time.Duration)
		}
		key := in.key()
		cold[key] = time.Duration(min(in.number(), maxColdLeft)) * time.Millisecond
	}
	return cold, !in.failed
}
