package peer

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/wire"
)

// FuzzFrames feeds arbitrary bytes to the frame reader and the decoder. An envelope
// that decodes must also decode after it was encoded again.
func FuzzFrames(f *testing.F) {
	ping, err := proto.Marshal(pingMessage(7))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(appendFrame(nil, ping))
	f.Add(appendFrame(appendFrame(nil, ping), nil))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Add(bytes.Repeat([]byte{0x80}, 12))
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 1 << 10
		reader := bufio.NewReader(bytes.NewReader(input))
		for {
			frame, err := readFrame(reader, limit)
			if err != nil {
				return
			}
			if len(frame) > limit {
				t.Fatalf("frame of %d bytes exceeds the limit", len(frame))
			}
			env, err := decodeEnvelope(frame)
			if err != nil {
				continue
			}
			reencoded, err := proto.Marshal(env)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decodeEnvelope(reencoded); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// scriptedConn reads from a fixed input and drops writes.
type scriptedConn struct{ io.Reader }

func (scriptedConn) Write(b []byte) (int, error) { return len(b), nil }

// FuzzHandshake runs the handshake against arbitrary input. Since the input cannot
// depend on the nonce, it must never be authenticated.
func FuzzHandshake(f *testing.F) {
	member := &wire.Member{Id: "z.1", Name: "z", PeerAddr: "127.0.0.1:1"}
	hello, err := proto.Marshal(&wire.Hello{Member: member, Nonce: make([]byte, nonceSize), Version: protocolVersion})
	if err != nil {
		f.Fatal(err)
	}
	forged, err := proto.Marshal(&wire.Hello{Proof: make([]byte, 32)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(appendFrame(appendFrame(nil, hello), forged))
	f.Add(appendFrame(nil, hello))
	f.Add([]byte{0})
	self := &wire.Member{Id: "a.1", Name: "a", PeerAddr: "127.0.0.1:2"}
	f.Fuzz(func(t *testing.T, input []byte) {
		for _, side := range []role{roleDialler, roleAcceptor} {
			if m, err := authenticate(scriptedConn{bytes.NewReader(input)}, self, testKey, side); err == nil {
				t.Fatalf("authenticated %v", m)
			}
		}
	})
}
