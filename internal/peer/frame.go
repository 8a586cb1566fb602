package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeford/jujubeford/internal/wire"
)

// Frame sizes in bytes. Receiving a frame over its limit closes the connection.
const (
	maxHelloSize   = 4 << 10
	maxControlSize = 512 << 10
	maxBulkSize    = 16 << 20
	// bulkThreshold is the size from which configuration parts and query
	// replies are sent as bulk frames, each on its own stream.
	bulkThreshold = 16 << 10
)

var (
	// ErrFrameTooLarge is returned for a frame over the size limit.
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	// ErrBadFrame is returned for a frame that does not contain a valid envelope.
	ErrBadFrame = errors.New("invalid frame")
)

// frameReader is the input of readFrame.
type frameReader interface {
	io.Reader
	io.ByteReader
}

// readFrame reads one length-prefixed frame of at most limit bytes. The buffer
// grows as data arrives, so that a peer cannot cause a large allocation by sending
// a length alone.
func readFrame(r frameReader, limit uint64) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	switch {
	case err == io.EOF:
		return nil, io.EOF
	case err != nil:
		return nil, errors.Wrap(err, "read frame length")
	case size > limit:
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(size)); err != nil {
		return nil, errors.Wrap(err, "read frame body")
	}
	return buf.Bytes(), nil
}

// appendFrame appends a length-prefixed frame to b.
func appendFrame(b, frame []byte) []byte {
	return protowire.AppendBytes(b, frame)
}

// decodeEnvelope decodes one envelope and rejects it if it has no known body.
func decodeEnvelope(frame []byte) (*wire.Envelope, error) {
	env := &wire.Envelope{}
	if err := proto.Unmarshal(frame, env); err != nil {
		return nil, errors.Wrap(ErrBadFrame, err.Error())
	}
	if env.Body == nil {
		return nil, errors.Wrap(ErrBadFrame, "envelope without a known body")
	}
	return env, nil
}

// unbufferedReader implements io.ByteReader without reading ahead, so that bytes
// after the frame remain in the underlying reader.
type unbufferedReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
