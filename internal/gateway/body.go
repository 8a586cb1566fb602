package gateway

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/holding"
	"github.com/jujubeford/jujubeford/internal/logs"
	"github.com/jujubeford/jujubeford/internal/routing"
	"github.com/jujubeford/jujubeford/internal/sockets"
)

const (
	// inlineBody is the size, in bytes, up to which bodies are read without asking for room:
	// they are part of what a connection takes (connBytes).
	inlineBody = 4 << 10
	// smallBody is the largest body of the small kind, in bytes, and what a body without a
	// length is first given room for.
	smallBody = 64 << 10
	// roomShare is the share of its caller's time that a body may wait for room: what is left
	// has to do for the rest of the request.
	roomShare = 0.5
	// refusalLinger bounds how long the rest of a refused request is read.
	refusalLinger = 500 * time.Millisecond
)

var (
	errBodyStalled = errors.New("the body makes no progress")
	errNoRoom      = errors.New("no room for the body")
	errBodyLimit   = errors.New("the body is too large")
)

// bodyStall is how long a body may make no progress.
func bodyStall(limits routing.Limits) time.Duration {
	if limits.HeaderTimeout > 0 {
		return limits.HeaderTimeout
	}
	return headerTimeout
}

// bodyReader reads the body of one request.
type bodyReader struct {
	g    *Gateway
	r    *http.Request
	conn net.Conn
	// limit is in bytes.
	limit int64
	stall time.Duration
	// deadline is when the request has to end, end when the whole body must have arrived, and
	// roomBy when there must be room for it.
	deadline, end, roomBy time.Time
	// deadlineAt is when the read deadline was set.
	deadlineAt time.Time
	caller     string
	hold       *hold
	body       holding.Body
}

// readBody reads the whole body of a request. Only then does net/http notice that the
// caller closes its connection while the request waits. The hold, which may be nil, is
// released by the caller of readBody.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits, caller string, started time.Time, left time.Duration) (holding.Body, *hold, *refusal) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = answerBytes
	}
	if r.ContentLength > limit {
		return nil, nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	b := &bodyReader{
		g: g, r: r, conn: connOf(r), limit: limit, stall: bodyStall(limits), caller: caller,
		deadline: started.Add(left), roomBy: started.Add(time.Duration(roomShare * float64(left))),
	}
	err := b.read()
	b.setDeadline(time.Time{})
	if err == nil {
		return b.body, b.hold, nil
	}
	refused := &refusal{status: http.StatusBadRequest, reason: "body-unreadable"}
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyLimit):
		refused = &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	case errors.Is(err, errNoRoom):
		refused = &refusal{http.StatusServiceUnavailable, "memory", retryAfterNotReady}
	case errors.Is(err, errBodyStalled), errors.As(err, &timeout) && timeout.Timeout():
		refused = &refusal{status: http.StatusRequestTimeout, reason: "body-stalled"}
	}
	b.body = nil
	g.room.release(b.hold)
	w.Header().Set("Connection", "close")
	return nil, nil, refused
}

// read reads the body in up to three steps: what needs no room, what a small body may have, and
// the rest. Room for a step is taken before it is read.
func (b *bodyReader) read() error {
	length := b.r.ContentLength
	b.begin()
	first := int64(inlineBody)
	if length > 0 {
		first = min(first, length)
	}
	if done, err := b.step(first); done || err != nil {
		return err
	}
	if length < 0 || length <= smallBody {
		size := min(smallBody, b.limit+1)
		if length > 0 {
			size = length
		}
		if err := b.takeRoom(holding.SmallBodies, size); err != nil {
			return err
		}
		if done, err := b.step(size); done || err != nil {
			return err
		}
	}
	size := length
	if size < 0 {
		size = b.limit
	}
	if err := b.takeRoom(holding.LargeBodies, size); err != nil {
		return err
	}
	// One more byte shows that the body is too large.
	if done, err := b.step(size + 1); done || err != nil {
		return err
	}
	return errBodyLimit
}

// step reads up to a size in total. done means that the body has ended.
func (b *bodyReader) step(size int64) (done bool, err error) {
	err = b.body.Fill(b, size-int64(b.body.Len()))
	got := int64(b.body.Len())
	switch {
	case got > b.limit && (err == nil || err == io.EOF):
		return false, errBodyLimit
	case err == nil && got != b.r.ContentLength:
		return false, nil
	case err != nil && err != io.EOF:
		return false, err
	}
	if b.hold != nil && !b.g.room.settle(b.hold, b.body.Len()) {
		return false, errBodyStalled
	}
	return true, nil
}

// takeRoom waits for room for the whole body, in place of what it has.
func (b *bodyReader) takeRoom(k holding.Kind, size int64) error {
	if b.hold == nil {
		conn := b.conn
		b.hold = newHold(b.caller, func() {
			// Ends the read that waits for more.
			if conn != nil {
				_ = conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
			}
		})
	}
	if !b.g.room.await(b.hold, k, size, b.roomBy) {
		if b.hold.isGone.Load() {
			return errBodyStalled
		}
		return errNoRoom
	}
	b.begin()
	return nil
}

// begin gives the body its time from now. What arrives after the end of the request is of no
// use.
func (b *bodyReader) begin() {
	if b.end = time.Now().Add(bodyTimeout); b.end.After(b.deadline) {
		b.end = b.deadline
	}
	b.extend()
}

// Read implements io.Reader. The deadline moves on as long as something arrives.
func (b *bodyReader) Read(p []byte) (int, error) {
	for {
		n, err := b.r.Body.Read(p)
		if n > 0 && b.hold != nil {
			b.g.room.moved(b.hold, n)
		}
		if b.hold != nil && b.hold.isGone.Load() {
			return n, errBodyStalled
		}
		var timeout net.Error
		if n == 0 && errors.As(err, &timeout) && timeout.Timeout() && time.Now().Before(b.end) && b.conn != nil && sockets.HasUnread(b.conn) {
			// This process was late, not the caller.
			b.extend()
			continue
		}
		if time.Since(b.deadlineAt) > b.stall/4 {
			b.extend()
		}
		return n, err
	}
}

// extend sets the read deadline from now.
func (b *bodyReader) extend() {
	b.deadlineAt = time.Now()
	deadline := b.deadlineAt.Add(b.stall)
	if deadline.After(b.end) {
		deadline = b.end
	}
	b.setDeadline(deadline)
}

func (b *bodyReader) setDeadline(t time.Time) {
	if b.conn == nil {
		return
	}
	if err := b.conn.SetReadDeadline(t); err != nil && !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "Gateway: setting the read deadline of a body failed.")
	}
}

// lacksLength reports whether the length of a request's body is unknown. HTTP/1.0 needs one for
// these methods; net/http takes the body for an empty one, also if it comes in chunks.
func lacksLength(r *http.Request) bool {
	if r.ProtoAtLeast(1, 1) || r.Header.Get("Content-Length") != "" {
		return false
	}
	return r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
}

// boundRefusal bounds what is read of the rest of a request that is refused before its body has
// been read: net/http reads on for up to 256 KiB.
func boundRefusal(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > inlineBody {
		w.Header().Set("Connection", "close")
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalLinger)); err != nil && !errors.Is(err, net.ErrClosed) {
		logs.Info("refusal-deadline", "Gateway: bounding the rest of a refused request failed.", "err", err)
	}
}
