package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// maxStreams bounds the streams of one peer that are read concurrently.
	maxStreams = 8
	// bulkTimeout bounds the transfer of one bulk frame.
	bulkTimeout = 30 * time.Second
	// lingerTimeout is how long a graceful close waits for the peer to end its
	// control stream.
	lingerTimeout = time.Second
)

var (
	errPingUnanswered = errors.New("peer did not answer a keepalive ping")
	errReplaced       = errors.New("replaced by a new connection to the peer")
	errRemoteClosed   = errors.New("peer closed the connection")
	errClosing        = errors.New("connection closed by this router")
	errSecondControl  = errors.New("peer opened a second control stream")
	errStreamKind     = errors.New("peer opened a stream of an unknown kind")
)

// link is one authenticated connection. It calls the handler in the order PeerUp,
// Message, PeerDown.
type link struct {
	transport *Transport
	member    *wire.Member
	id        core.RouterID
	conn      *countingConn
	session   *yamux.Session
	queue     *sendQueue
	// previous is the done channel of the link that this one replaces; nil if
	// there is none.
	previous <-chan struct{}
	// done is closed after PeerDown has returned, or when the link is abandoned.
	done chan struct{}
	// closed is closed by closeNow.
	closed chan struct{}
	// bulkDone is closed when writeBulk has ended.
	bulkDone chan struct{}
	// remoteDone is closed when the peer has ended its control stream.
	remoteDone chan struct{}
	closeOnce  sync.Once
	readers    sync.WaitGroup
	writers    sync.WaitGroup
	// controlOnce detects a second control stream of the peer.
	controlOnce sync.Once
}

func newLink(t *Transport, member *wire.Member, conn *countingConn) *link {
	return &link{
		transport:  t,
		member:     member,
		id:         core.RouterID(member.Id),
		conn:       conn,
		queue:      newSendQueue(),
		done:       make(chan struct{}),
		closed:     make(chan struct{}),
		bulkDone:   make(chan struct{}),
		remoteDone: make(chan struct{}),
	}
}

// closeNow closes the link without flushing its queue. It logs the reason; later
// calls do nothing.
func (l *link) closeNow(reason error) {
	l.closeOnce.Do(func() {
		klog.V(1).InfoS("peer: connection closed", "router", l.id, "reason", reason)
		l.queue.close()
		close(l.closed)
		l.conn.Close()
	})
}

// isClosed reports whether closeNow was called.
func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// run serves the link until it is closed. The session must be set.
func (l *link) run() {
	if l.previous != nil {
		<-l.previous
	}
	klog.V(1).InfoS("peer: connected", "router", l.id, "addr", l.member.PeerAddr)
	l.transport.opts.Handler.PeerUp(l.member)
	l.writers.Add(2)
	l.readers.Add(1)
	go l.writeControl()
	go l.writeBulk()
	go l.acceptStreams()
	go l.closeAfterFlush()
	l.keepAliveLoop()
	l.session.Close()
	l.writers.Wait()
	l.readers.Wait()
	l.transport.opts.Handler.PeerDown(l.id)
	l.transport.remove(l)
	close(l.done)
}

// keepAliveLoop pings the peer after each keepalive interval in which nothing was
// read from it, and closes the link if a ping is not answered. It returns when the
// link is closed.
func (l *link) keepAliveLoop() {
	ticker := time.NewTicker(l.transport.opts.KeepAlive)
	defer ticker.Stop()
	lastReads := l.conn.reads.Load()
	for {
		select {
		case <-l.closed:
			return
		case <-l.session.CloseChan():
			l.closeNow(errRemoteClosed)
		case <-ticker.C:
			if reads := l.conn.reads.Load(); reads != lastReads {
				lastReads = reads
				continue
			}
			l.probe()
			lastReads = l.conn.reads.Load()
		}
	}
}

// probe pings the peer and closes the link if it does not answer in time.
func (l *link) probe() {
	answer := make(chan error, 1)
	go func() {
		_, err := l.session.Ping()
		answer <- err
	}()
	select {
	case err := <-answer:
		if err != nil {
			l.closeNow(errors.Wrap(errPingUnanswered, err.Error()))
		}
	case <-time.After(l.transport.opts.ProbeTimeout):
		l.closeNow(errPingUnanswered)
	}
}

// replaceable reports whether a new connection may replace the link, because it is
// closed or shutting down.
func (l *link) replaceable() bool {
	return l.isClosed() || l.queue.isClosed()
}

// send queues an envelope and reports whether it was queued. It never blocks. If
// the control queue is full, the link is closed.
func (l *link) send(env *wire.Envelope) bool {
	frame, err := proto.Marshal(env)
	if err != nil {
		klog.ErrorS(err, "peer: message dropped, encoding failed", "router", l.id)
		return false
	}
	if len(frame) >= bulkThreshold && isBulkKind(env) {
		return len(frame) <= maxBulkSize && l.queue.addBulk(frame) && l.recordSent(env, len(frame))
	}
	if len(frame) > maxControlSize {
		klog.ErrorS(ErrFrameTooLarge, "peer: control message dropped", "router", l.id, "bytes", len(frame))
		return false
	}
	ok, err := l.queue.addControl(frame)
	if err != nil {
		l.closeNow(err)
	}
	return ok && l.recordSent(env, len(frame))
}

// recordSent counts a queued message. It always returns true, so that send can use it
// as its result.
func (l *link) recordSent(env *wire.Envelope, size int) bool {
	l.transport.counters.countSent(env, size)
	return true
}

// isBulkKind reports whether a large message of this kind is sent on a stream of
// its own. It is then not ordered relative to control messages.
func isBulkKind(env *wire.Envelope) bool {
	switch env.Body.(type) {
	case *wire.Envelope_ConfigParts, *wire.Envelope_QueryReply:
		return true
	default:
		return false
	}
}

// shutdown starts a graceful close: no more messages are queued, and the link is
// closed after the queue has been written.
func (l *link) shutdown() { l.queue.close() }

// closeAfterFlush closes the link after both writers have ended. The end of the
// control stream makes the peer flush and close its side; closeAfterFlush waits for
// that, for at most lingerTimeout.
func (l *link) closeAfterFlush() {
	l.writers.Wait()
	select {
	case <-l.closed:
	case <-l.remoteDone:
	case <-l.session.CloseChan():
	case <-time.After(lingerTimeout):
	}
	l.closeNow(errClosing)
}
