package gateway

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// A router that offloads a connection sends nothing of the request before the peer has said
// that it takes it: the kernel of a frozen peer accepts connections and bytes as well, and
// would have the request run once the peer wakes. The peer sends one byte; the router
// then sends the time that is left for the request, in milliseconds, and what the caller sent.
const (
	// handshakeTaken means that the peer takes the connection, handshakeBusy that it has no
	// processor time.
	handshakeTaken byte = 1
	handshakeBusy  byte = 2
	// handshakeTimeout bounds how long the peer may take to its byte. A peer that has time to
	// spare accepts within the time that goroutines wait for the processor there.
	handshakeTimeout = 200 * time.Millisecond
	// timeLeftBytes is the size of the time that is left.
	timeLeftBytes = 4
)

var (
	errPeerBusy      = errors.New("the peer has no processor time")
	errHandshakeByte = errors.New("the peer answers in another protocol")
)

// awaitTaken waits until a peer says that it takes a connection. The error is a timeout if
// the peer is silent.
func awaitTaken(peer net.Conn) error {
	if err := peer.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline of a handshake")
	}
	var b [1]byte
	if _, err := io.ReadFull(peer, b[:]); err != nil {
		return errors.Wrap(err, "await the handshake")
	}
	switch b[0] {
	case handshakeTaken:
		return nil
	case handshakeBusy:
		return errPeerBusy
	}
	return errHandshakeByte
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// appendTimeLeft appends the time that is left for a request.
func appendTimeLeft(b []byte, left time.Duration) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(max(0, min(left.Milliseconds(), 1<<31))))
}

// readTimeLeft reads the time that is left for a request.
func readTimeLeft(r io.Reader) (time.Duration, error) {
	var b [timeLeftBytes]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return 0, errors.Wrap(err, "read the time left for an offloaded request")
	}
	return time.Duration(binary.BigEndian.Uint32(b[:])) * time.Millisecond, nil
}
