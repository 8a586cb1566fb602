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
	// proofContext is the domain separator of the HMAC.
	proofContext = "jujubeford peer handshake v1"
)

// role is the side of a connection. It is part of the proof, so that a proof cannot
// be reflected to its sender.
type role byte

const (
	roleDialler role = iota + 1
	roleAcceptor
)

// decision tells the remote router whether the connection is kept. It is sent by
// the router with the smaller id.
type decision byte

const (
	decisionKeep decision = iota + 1
	decisionDuplicate
)

var (
	// ErrAuthFailed is returned if the peer's proof does not match the fleet's
	// shared key.
	ErrAuthFailed = errors.New("peer failed authentication: proof does not match the shared key")
	// ErrBadHello is returned if a handshake message of the peer is invalid.
	ErrBadHello = errors.New("invalid handshake message")
	// ErrSelfConnection is returned if a connection leads back to this router.
	ErrSelfConnection = errors.New("connection leads back to this router")
	// ErrDuplicate is returned if another connection to the same router is kept.
	ErrDuplicate = errors.New("duplicate connection to this router")
)

// authenticate exchanges hellos and proofs and returns the member record of the
// remote router. Both sides write before they read; the messages fit into the
// socket buffers, so that this does not deadlock.
func authenticate(rw io.ReadWriter, self *wire.Member, key []byte, side role) (*wire.Member, error) {
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "generate nonce")
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

// exchangeProofs sends this side's proof and verifies the remote side's.
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

// exchange sends one frame and reads one. An EOF before the frame is unexpected.
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

// computeProof returns the HMAC over the role and both encoded hellos, the dialler's
// first. The hellos contain the nonces, the member records and the version.
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

// decodeHello decodes and validates a hello and returns its member record.
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
		return nil, errors.Wrapf(ErrBadHello, "nonce has a wrong length of %d bytes", len(hello.Nonce))
	case m == nil || m.Name == "" || !strings.HasPrefix(m.Id, m.Name+"."):
		return nil, errors.Wrap(ErrBadHello, "missing or invalid member record")
	case m.Id == selfID:
		return nil, ErrSelfConnection
	}
	return m, nil
}

func sendDecision(w io.Writer, d decision) error {
	_, err := w.Write([]byte{byte(d)})
	return errors.Wrap(err, "send connection decision")
}

// readDecision returns ErrDuplicate if the remote router rejects the connection.
func readDecision(r io.Reader) error {
	var b [1]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return errors.Wrap(err, "read connection decision")
	}
	switch decision(b[0]) {
	case decisionKeep:
		return nil
	case decisionDuplicate:
		return ErrDuplicate
	default:
		return errors.Wrapf(ErrBadHello, "unknown connection decision %d", b[0])
	}
}
