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

// Sizes of frames, in bytes. A frame over its limit closes the connection.
const (
	maxHelloSize   = 4 << 10
	maxControlSize = 512 << 10
	maxBulkSize    = 16 << 20
	// bulkThreshold is the size from which configuration parts and query
	// replies get a stream of their own.
	bulkThreshold = 16 << 10
)

var (
	// ErrFrameTooLarge means that a peer announced a frame over the limit.
	ErrFrameTooLarge = errors.New("frame too large")
	// ErrBadFrame means that a frame's length or content cannot be decoded.
	ErrBadFrame = errors.New("bad frame")
)

// frameReader is what a frame is read from.
type frameReader interface {
	io.Reader
	io.ByteReader
}

// readFrame reads one length-prefixed frame. The buffer grows with the bytes
// that arrive, so an announced length alone allocates nothing.
func readFrame(r frameReader, limit uint64) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	switch {
	case err == io.EOF:
		return nil, io.EOF
	case err != nil:
		return nil, errors.Wrap(err, "frame length")
	case size > limit:
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(size)); err != nil {
		return nil, errors.Wrap(err, "frame body")
	}
	return buf.Bytes(), nil
}

// appendFrame appends a length-prefixed frame to b.
func appendFrame(b, frame []byte) []byte {
	return protowire.AppendBytes(b, frame)
}

// decodeEnvelope decodes one envelope and rejects one without a body.
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

// unbufferedReader reads single bytes without reading ahead, so that nothing which
// follows a frame is lost.
type unbufferedReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
