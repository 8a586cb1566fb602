package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/logs"
)

const (
	// moveTimeout bounds copying the memory of a running request, and finalCopyTimeout
	// the copy of the remainder at the end, during which the stream is stopped.
	moveTimeout      = 2 * time.Second
	finalCopyTimeout = 1500 * time.Millisecond
	// maxFreeLinkCopy is how long copying a few new tokens takes at most on a free
	// link, and linkTries how often that is tried.
	maxFreeLinkCopy = 25 * time.Millisecond
	linkTries       = 3
)

// handover is the last phase of a move, in which the stream is stopped.
type handover struct {
	done   chan struct{}
	result handoverResult
}

// handoverResult names the memory to continue from; handle is empty if there is none.
type handoverResult struct {
	handle string
	copied bool
	// notStopped means that no stream was stopped: none had to be, the source did not run
	// the request any more, or it refused to stop it.
	notStopped bool
}

var errStopped = errors.New("the stream was stopped for a move before its end")

// move copies a stream's memory while the stream runs, stops it, and lets the call's
// goroutine continue from the copy.
func (g *Gateway) move(c *call, e dispatch.Move) {
	if g.options.Mover == nil {
		g.step(dispatch.MoveFailed{ID: c.key, Attempt: e.Attempt})
		return
	}
	started := time.Now()
	handle, copied, err := g.copyMemory(c, e, moveTimeout, false)
	if err != nil || !copied {
		logs.Info("move-failed", "Gateway: stream not moved.", "id", c.caller.ID, "from", e.From.ID, "to", e.To.ID,
			"took", time.Since(started), "err", err)
		g.step(dispatch.MoveFailed{ID: c.key, Attempt: e.Attempt})
		return
	}
	if !g.linkIsFree(c, e) {
		logs.Info("move-failed", "Gateway: stream not moved, the link is busy.", "id", c.caller.ID, "from", e.From.ID,
			"to", e.To.ID, "took", time.Since(started))
		g.freeCopy(e.From.Addr, handle)
		g.step(dispatch.MoveFailed{ID: c.key, Attempt: e.Attempt})
		return
	}
	if !g.mayHandOver(c, e) {
		logs.Info("move-failed", "Gateway: stream not moved, it has ended or the target is leaving.", "id", c.caller.ID, "from", e.From.ID,
			"to", e.To.ID, "took", time.Since(started))
		g.freeCopy(e.From.Addr, handle)
		g.step(dispatch.MoveFailed{ID: c.key, Attempt: e.Attempt})
		return
	}
	h := c.beginHandover()
	if h == nil {
		g.freeCopy(e.From.Addr, handle)
		return
	}
	copiedAt := time.Now()
	finalHandle, copied, err := g.copyMemory(c, e, finalCopyTimeout, true)
	logs.Info("moved", "Gateway: stream stopped for a move.", "id", c.caller.ID, "from", e.From.ID, "to", e.To.ID,
		"copied", copied, "copying", copiedAt.Sub(started), "stopping", time.Since(copiedAt), "err", err)
	refused := errors.Is(err, ErrMoveRefused)
	if refused {
		g.step(dispatch.MoveFailed{ID: c.key, Attempt: e.Attempt})
	}
	notStopped := refused || errors.Is(err, ErrNotRunning)
	unwanted := c.endHandover(h, handoverResult{finalHandle, copied, notStopped})
	if unwanted || finalHandle == "" {
		g.freeCopy(e.From.Addr, handle)
	}
}

func (g *Gateway) mayHandOver(c *call, e dispatch.Move) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.MayHandOver(c.key, e.Attempt)
}

// linkIsFree copies new memory until a copy takes little time, and reports whether one
// did. The stream is stopped during the final copy, which would queue behind other
// moves on a busy link.
func (g *Gateway) linkIsFree(c *call, e dispatch.Move) bool {
	for range linkTries {
		started := time.Now()
		if _, copied, err := g.copyMemory(c, e, moveTimeout, false); err != nil || !copied {
			return false
		}
		if time.Since(started) <= maxFreeLinkCopy {
			return true
		}
	}
	return false
}

func (g *Gateway) copyMemory(c *call, e dispatch.Move, timeout time.Duration, last bool) (string, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return g.options.Mover.Copy(ctx, e.From.Addr, c.caller.ID, e.To.Addr, last)
}

// freeCopy releases a copy that is not used.
func (g *Gateway) freeCopy(source, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	if err := g.options.Mover.Free(ctx, source, handle); err != nil {
		logs.Info("move-free", "Gateway: freeing an unused copy of a stream's memory failed.", "source", source, "handle", handle, "err", err)
	}
}

// beginHandover records that the stream is about to be stopped. It returns nil if the
// stream has ended.
func (c *call) beginHandover() *handover {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == nil || c.ended {
		return nil
	}
	c.handover = &handover{done: make(chan struct{})}
	return c.handover
}

// endHandover passes the result to the call's goroutine. It reports whether the result
// is unwanted because the call has ended.
func (c *call) endHandover(h *handover, result handoverResult) (unwanted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.result = result
	close(h.done)
	return c.ended
}

// awaitHandover waits for the end of a handover in progress and returns its result; the
// handle is empty if there was none or the call has ended.
func (c *call) awaitHandover() handoverResult {
	c.mu.Lock()
	h, ended := c.handover, c.ended
	c.handover = nil
	c.mu.Unlock()
	if h == nil || ended {
		return handoverResult{notStopped: true}
	}
	<-h.done
	return h.result
}
