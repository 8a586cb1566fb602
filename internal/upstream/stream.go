package upstream

import (
	"bytes"
	"encoding/json"
	"hash/crc32"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/sse"
)

// endMark is the data of a stream's last event.
var endMark = []byte("[DONE]")

// usageField occurs in each chunk that states the usage.
var usageField = []byte(`"usage"`)

// streamBody forwards the events of one stream in order. Invariant: it returns
// chunks of a single stream only, each offset once and without gaps, and End only
// with the stream's end mark.
type streamBody struct {
	response *Response
	events   *sse.Reader
	encoded  []byte
	// id is empty until a header or the first chunk names the stream.
	id string
	// offset is that of the last chunk returned; started means that there was one,
	// on this connection or before a resume.
	offset  uint64
	started bool
	// sums are the checksums of the chunks returned on this connection, up to offset.
	sums []uint32
	// dropped means that a chunk was dropped since the last one that was returned: one of
	// another stream, or one with content that is not the copy of an earlier one. It may
	// have been the next one, with a wrong id.
	dropped bool
	// tokens counts the tokens of the stream; usage is the total that the upstream
	// stated, 0 if none.
	tokens uint64
	usage  uint64
}

func newStreamBody(r *Request, a *Response) *streamBody {
	b := &streamBody{response: a, id: a.resp.Header.Get(HeaderStream)}
	b.events = sse.NewReader(readerFunc(a.read))
	if r.Resume != nil {
		b.id, b.offset, b.started = r.Resume.StreamID, r.Resume.Offset, true
		b.tokens = r.Resume.Offset
	}
	return b
}

// readerFunc adapts a function to io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func (b *streamBody) streamID() string { return b.id }

// next implements body.
func (b *streamBody) next() (Chunk, error) {
	for {
		e, err := b.events.Next()
		if err == io.EOF {
			return Chunk{}, errNoExplicitEnd
		}
		if err != nil {
			return Chunk{}, err
		}
		forward, err := b.acceptEvent(e)
		if err != nil {
			return Chunk{}, err
		}
		if forward {
			return b.encodeChunk(e)
		}
	}
}

// acceptEvent decides by an event's id whether to forward it: not if it is late,
// repeated or of another stream.
func (b *streamBody) acceptEvent(e sse.Event) (forward bool, err error) {
	isEnd := bytes.Equal(e.Data, endMark)
	if e.ID == "" {
		return true, b.checkUnnumbered(e.Data, isEnd)
	}
	stream, offset, err := parseEventID(e.ID)
	if err != nil {
		return false, err
	}
	if b.id == "" {
		b.id = stream
	}
	if stream == b.id {
		if forward, err = b.advanceTo(offset, isEnd); err != nil {
			return false, err
		}
	}
	switch {
	case forward:
		b.dropped = false
		b.sums = append(b.sums, crc32.ChecksumIEEE(e.Data))
	case stream != b.id, hasContent(e.Data) && !b.isCopy(offset, e.Data):
		b.dropped = true
	}
	return forward, nil
}

// isCopy reports whether a chunk is the copy of one that was returned on this connection.
func (b *streamBody) isCopy(offset uint64, data []byte) bool {
	back := b.offset - offset
	return back < uint64(len(b.sums)) && b.sums[uint64(len(b.sums))-1-back] == crc32.ChecksumIEEE(data)
}

// checkUnnumbered checks an event without an id. It belongs to the stream of the response, but
// its place there is unknown: it must not have content if the chunks are numbered, and an end
// mark must not follow a chunk that was dropped.
func (b *streamBody) checkUnnumbered(data []byte, isEnd bool) error {
	switch {
	case isEnd && b.dropped:
		return errDoubtfulEnd
	case !isEnd && b.id != "" && hasContent(data):
		return errors.Wrap(errEventID, "content without an id")
	}
	return nil
}

// hasContent reports whether a chunk has content of the answer.
func hasContent(data []byte) bool {
	var p payload
	return json.Unmarshal(data, &p) == nil && p.countContents() > 0
}

// advanceTo moves to the offset of a chunk of this stream and decides whether to
// forward the chunk.
func (b *streamBody) advanceTo(offset uint64, isEnd bool) (forward bool, err error) {
	if isEnd && offset == b.offset {
		return true, nil
	}
	if offset == 0 && !b.started {
		b.started = true
		return true, nil
	}
	if offset <= b.offset {
		return false, nil
	}
	if offset != b.offset+1 {
		return false, errors.Wrapf(errMissingChunks, "got offset %d after %d", offset, b.offset)
	}
	b.offset, b.started = offset, true
	return true, nil
}

// encodeChunk encodes an event as the chunk to forward.
func (b *streamBody) encodeChunk(e sse.Event) (Chunk, error) {
	encoded, err := sse.Append(b.encoded[:0], e)
	if err != nil {
		return Chunk{}, err
	}
	b.encoded = encoded
	c := Chunk{Data: encoded, Offset: b.offset}
	if bytes.Equal(e.Data, endMark) {
		c.End, c.Cost = true, b.cost()
		return c, nil
	}
	c.Tokens = b.countTokens(e)
	b.tokens += uint64(c.Tokens)
	return c, nil
}

// countTokens returns the number of tokens in an event and records the usage that
// it states. An event with an id counts as one token if its offset is above 0. An
// event without an id counts as one token if it has content. To save time, an event
// with an id is parsed only if it states a usage, which few do.
func (b *streamBody) countTokens(e sse.Event) int {
	hasID := e.ID != ""
	if hasID && !bytes.Contains(e.Data, usageField) {
		return min(1, int(b.offset))
	}
	var p payload
	if json.Unmarshal(e.Data, &p) != nil {
		return 0
	}
	if p.Usage != nil {
		b.usage = p.Usage.TotalTokens
	}
	if hasID {
		return min(1, int(b.offset))
	}
	return min(1, p.countContents())
}

// cost returns the usage that the upstream stated, or else the number of tokens
// counted.
func (b *streamBody) cost() uint64 {
	if b.usage > 0 {
		return b.usage
	}
	return b.tokens
}

// parseEventID parses "<stream id>/<offset>".
func parseEventID(id string) (stream string, offset uint64, err error) {
	slash := strings.LastIndexByte(id, '/')
	if slash <= 0 {
		return "", 0, errors.Wrapf(errEventID, "%.64q", id)
	}
	offset, err = strconv.ParseUint(id[slash+1:], 10, 64)
	if err != nil || strconv.FormatUint(offset, 10) != id[slash+1:] {
		return "", 0, errors.Wrapf(errEventID, "%.64q", id)
	}
	return id[:slash], offset, nil
}
