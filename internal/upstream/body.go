package upstream

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/sse"
)

const (
	// maxChunkBytes is the largest piece of a body that is forwarded at once.
	maxChunkBytes = 32 << 10
	// maxUsageBytes is how much of a model's response is buffered to read its
	// usage.
	maxUsageBytes = 256 << 10
	// bytesPerToken estimates the cost of a model's response that states no usage.
	bytesPerToken = 4
)

// newBody selects how the response body is read, by the kind of service and the
// content type.
func newBody(r *Request, a *Response) body {
	if r.Service != config.Model || a.Status != http.StatusOK {
		return &plainBody{response: a}
	}
	kind, _, _ := mime.ParseMediaType(a.resp.Header.Get("Content-Type"))
	if kind == "text/event-stream" {
		return newStreamBody(r, a)
	}
	return &plainBody{response: a, model: true}
}

// isTruncated reports whether err means that a response ended early or out of
// order, as opposed to a broken connection.
func isTruncated(err error) bool {
	for _, cause := range []error{errMissingChunks, errNoExplicitEnd, errDoubtfulEnd, errEventID, io.ErrUnexpectedEOF,
		sse.ErrTruncated, sse.ErrLineTooLong, sse.ErrEventTooLarge} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// plainBody forwards a body whose end net/http verifies by Content-Length or by the
// last chunk of the chunked encoding.
type plainBody struct {
	response *Response
	buf      []byte
	// model means that the usage is read from the body; usageBuf is what is
	// buffered for that.
	model    bool
	usageBuf []byte
	size     uint64
}

func (b *plainBody) streamID() string { return "" }

// next implements body.
func (b *plainBody) next() (Chunk, error) {
	if b.buf == nil {
		b.buf = make([]byte, maxChunkBytes)
	}
	for {
		n, err := b.response.read(b.buf)
		b.bufferForUsage(b.buf[:n])
		if err == io.EOF {
			return b.finalChunk(b.buf[:n])
		}
		if err != nil {
			return Chunk{}, err
		}
		if n > 0 {
			return Chunk{Data: b.buf[:n]}, nil
		}
	}
}

// finalChunk builds the chunk that ends the response. A body without a stated
// length ends when its connection closes, which does not show that it is complete.
func (b *plainBody) finalChunk(data []byte) (Chunk, error) {
	if !hasExplicitEnd(b.response.resp) {
		return Chunk{}, errNoExplicitEnd
	}
	c := Chunk{Data: data, End: true}
	if b.model {
		c.Cost = b.tokenCost()
		c.Tokens = int(c.Cost)
	} else {
		c.Cost = b.response.serviceTime()
	}
	return c, nil
}

// hasExplicitEnd reports whether the end of the body is explicit: a stated length,
// the last chunk of the chunked encoding, or no body at all.
func hasExplicitEnd(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead {
		return true
	}
	n := len(resp.TransferEncoding)
	return n > 0 && resp.TransferEncoding[n-1] == "chunked"
}

// bufferForUsage buffers up to maxUsageBytes of a model's response, to read its
// usage.
func (b *plainBody) bufferForUsage(data []byte) {
	b.size += uint64(len(data))
	if b.model && len(b.usageBuf)+len(data) <= maxUsageBytes {
		b.usageBuf = append(b.usageBuf, data...)
	}
}

// tokenCost returns the cost of a complete model response: its stated usage, or
// else an estimate from its size.
func (b *plainBody) tokenCost() uint64 {
	var p payload
	if json.Unmarshal(b.usageBuf, &p) == nil && p.Usage != nil {
		return p.Usage.TotalTokens
	}
	return b.size/bytesPerToken + 1
}

// payload holds the fields of a model's response, or of a chunk of one, that the
// router reads.
type payload struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens uint64 `json:"total_tokens"`
	} `json:"usage"`
}

// countContents returns the number of choices with content.
func (p *payload) countContents() int {
	n := 0
	for _, choice := range p.Choices {
		if choice.Delta.Content != "" {
			n++
		}
	}
	return n
}
