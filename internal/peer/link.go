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
	// maxStreams is how many streams of one peer may be open for reading.
	maxStreams = 8
	// bulkTimeout bounds the transfer of one bulk frame.
	bulkTimeout = 30 * time.Second
	// lingerTimeout is how long a graceful close waits for the other end.
	lingerTimeout = time.Second
)

var (
	errPingUnanswered = errors.New("peer is silent")
	errReplaced       = errors.New("peer connected anew")
	errRemoteClosed   = errors.New("peer closed the connection")
	errClosing        = errors.New("closed by this router")
	errSecondControl  = errors.New("peer opened a second control stream")
	errStreamKind     = errors.New("peer opened a stream of unknown kind")
)

// link is one authenticated connection. Its events reach the handler in order:
// PeerUp, then messages, then PeerDown.
type link struct {
	transport *Transport
	member    *wire.Member
	id        core.RouterID
	conn      *countingConn
	session   *yamux.Session
	queue     *sendQueue
	// previous is closed once the link that this one replaces has reported its
	// PeerDown; nil if there is none.
	previous <-chan struct{}
	// done is closed after PeerDown was reported.
	done chan struct{}
	// closed is closed by fail, bulkDone once no bulk frame is left to send, and
	// remoteDone once the peer has ended its control stream.
	closed      chan struct{}
	bulkDone    chan struct{}
	remoteDone  chan struct{}
	closeOnce   sync.Once
	readers     sync.WaitGroup
	writers     sync.WaitGroup
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

// closeNow closes the link at once; the first reason is logged.
func (l *link) closeNow(reason error) {
	l.closeOnce.Do(func() {
		klog.V(1).InfoS("peer: connection closed", "router", l.id, "reason", reason)
		l.queue.close()
		close(l.closed)
		l.conn.Close()
	})
}

// isClosed reports whether fail was called.
func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// run carries the link until it breaks. The session is set before.
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

// keepAliveLoop returns when the link is broken. A peer from which nothing was read for
// an interval is pinged; without an answer it is silent.
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

// probe closes the link if the peer does not answer a ping.
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

// replaceable reports whether the link may give way to a new connection.
func (l *link) replaceable() bool {
	return l.isClosed() || l.queue.isClosed()
}

// send queues an envelope. It never blocks.
func (l *link) send(env *wire.Envelope) bool {
	frame, err := proto.Marshal(env)
	if err != nil {
		klog.ErrorS(err, "peer: message dropped", "router", l.id)
		return false
	}
	if len(frame) >= bulkThreshold && isBulkKind(env) {
		return len(frame) <= maxBulkSize && l.queue.addBulk(frame) && l.recordSent(env, len(frame))
	}
	if len(frame) > maxControlSize {
		klog.ErrorS(ErrFrameTooLarge, "peer: message dropped", "router", l.id, "bytes", len(frame))
		return false
	}
	ok, err := l.queue.addControl(frame)
	if err != nil {
		l.closeNow(err)
	}
	return ok && l.recordSent(env, len(frame))
}

func (l *link) recordSent(env *wire.Envelope, size int) bool {
	l.transport.counters.countSent(env, size)
	return true
}

// isBulkKind reports whether a large message of this kind gets a stream of its
// own; its order against control messages is then open.
func isBulkKind(env *wire.Envelope) bool {
	switch env.Body.(type) {
	case *wire.Envelope_ConfigParts, *wire.Envelope_QueryReply:
		return true
	default:
		return false
	}
}

// shutdown flushes what is queued and then closes the link.
func (l *link) shutdown() { l.queue.close() }

// closeAfterFlush closes the link once both writers are through: the end of
// the control stream tells the peer, which flushes and closes in turn.
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
