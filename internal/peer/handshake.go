package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	protocolVersion = 1
	nonceSize       = 32
	proofContext    = "jujubeford peer handshake v1"
)

// role is the side of a connection; it goes into the proof, so that a proof
// cannot be reflected to its sender.
type role byte

const (
	roleDialler role = iota + 1
	roleAcceptor
)

// decision is the answer of the router that decides which connection stands.
type decision byte

const (
	decisionKeep decision = iota + 1
	decisionDuplicate
)

var (
	// ErrAuthFailed means that a peer does not know the fleet's shared key.
	ErrAuthFailed = errors.New("peer failed authentication")
	// ErrBadHello means that a peer's greeting is not acceptable.
	ErrBadHello = errors.New("bad hello")
	// ErrSelfConnection means that a connection leads back to this router.
	ErrSelfConnection = errors.New("connected to self")
	// ErrDuplicate means that another connection to the same router stands.
	ErrDuplicate = errors.New("another connection to this router stands")
)

// authenticate runs the handshake up to the proofs and returns the member at
// the other end. Both sides send before they read, which fits into the socket
// buffers, so neither waits for the other.
func authenticate(rw io.ReadWriter, self *wire.Member, key []byte, side role) (*wire.Member, error) {
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "nonce")
	}
	localHello, err := proto.Marshal(&wire.Hello{Member: self, Nonce: nonce, Version: protocolVersion})
	if err != nil {
		return nil, errors.Wrap(err, "encode hello")
	}
	remoteHello, err := exchange(rw, localHello)
	if err != nil {
		return nil, errors.Wrap(err, "exchange hello")
	}
	member, err := decodeHello(remoteHello, self.Id)
	if err != nil {
		return nil, err
	}
	if err := exchangeProofs(rw, key, side, localHello, remoteHello); err != nil {
		return nil, err
	}
	return member, nil
}

// exchangeProofs sends this side's proof and checks the other's.
func exchangeProofs(rw io.ReadWriter, key []byte, side role, localHello, remoteHello []byte) error {
	diallerHello, acceptorHello := localHello, remoteHello
	remoteSide := roleAcceptor
	if side == roleAcceptor {
		diallerHello, acceptorHello = remoteHello, localHello
		remoteSide = roleDialler
	}
	frame, err := proto.Marshal(&wire.Hello{Proof: computeProof(key, side, diallerHello, acceptorHello)})
	if err != nil {
		return errors.Wrap(err, "encode proof")
	}
	reply, err := exchange(rw, frame)
	if err != nil {
		return errors.Wrap(err, "exchange proof")
	}
	hello := &wire.Hello{}
	if err := proto.Unmarshal(reply, hello); err != nil {
		return errors.Wrap(ErrBadHello, err.Error())
	}
	if !hmac.Equal(hello.Proof, computeProof(key, remoteSide, diallerHello, acceptorHello)) {
		return ErrAuthFailed
	}
	return nil
}

// exchange sends one frame and reads one.
func exchange(rw io.ReadWriter, frame []byte) ([]byte, error) {
	if _, err := rw.Write(appendFrame(nil, frame)); err != nil {
		return nil, err
	}
	reply, err := readFrame(unbufferedReader{rw}, maxHelloSize)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return reply, err
}

// computeProof is the HMAC over the role and both greetings, the dialler's first. The
// greetings carry the nonces, the member records and the version.
func computeProof(key []byte, side role, diallerHello, acceptorHello []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(proofContext))
	mac.Write([]byte{byte(side)})
	for _, hello := range [][]byte{diallerHello, acceptorHello} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(hello)))
		mac.Write(size[:])
		mac.Write(hello)
	}
	return mac.Sum(nil)
}

// decodeHello checks a greeting's form.
func decodeHello(frame []byte, selfID string) (*wire.Member, error) {
	hello := &wire.Hello{}
	if err := proto.Unmarshal(frame, hello); err != nil {
		return nil, errors.Wrap(ErrBadHello, err.Error())
	}
	m := hello.Member
	switch {
	case hello.Version != protocolVersion:
		return nil, errors.Wrapf(ErrBadHello, "protocol version %d, want %d", hello.Version, protocolVersion)
	case len(hello.Nonce) != nonceSize:
		return nil, errors.Wrapf(ErrBadHello, "nonce of %d bytes", len(hello.Nonce))
	case m == nil || m.Name == "" || !strings.HasPrefix(m.Id, m.Name+"."):
		return nil, errors.Wrap(ErrBadHello, "no valid member record")
	case m.Id == selfID:
		return nil, ErrSelfConnection
	}
	return m, nil
}

func sendDecision(w io.Writer, v decision) error {
	_, err := w.Write([]byte{byte(v)})
	return errors.Wrap(err, "send verdict")
}

func readDecision(r io.Reader) error {
	var b [1]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return errors.Wrap(err, "read verdict")
	}
	switch decision(b[0]) {
	case decisionKeep:
		return nil
	case decisionDuplicate:
		return ErrDuplicate
	default:
		return errors.Wrapf(ErrBadHello, "verdict %d", b[0])
	}
}
