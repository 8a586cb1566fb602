package peer

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
)

// streamOpenTimeout is how long a peer may take to accept a yamux stream.
const streamOpenTimeout = 10 * time.Second

// establish runs the handshake on a new connection and starts its link. It closes
// the connection on failure. It returns the id of the remote router even if it fails,
// unless it fails before the remote router is authenticated.
func (t *Transport) establish(raw net.Conn, side role, addr string) (core.RouterID, error) {
	conn := &countingConn{Conn: raw, counters: &t.counters, writeTimeout: t.opts.WriteTimeout}
	if !t.addPending(conn) {
		raw.Close()
		return "", ErrClosed
	}
	l, id, err := t.handshake(conn, side, addr)
	t.removePending(conn)
	if err != nil {
		raw.Close()
		return id, err
	}
	go l.run()
	return id, nil
}

// handshake authenticates the remote router, agrees with it on the connection to
// keep, and starts the yamux session.
func (t *Transport) handshake(conn *countingConn, side role, addr string) (*link, core.RouterID, error) {
	if err := conn.SetDeadline(time.Now().Add(t.opts.HandshakeTimeout)); err != nil {
		return nil, "", errors.Wrap(err, "set handshake deadline")
	}
	secured := t.wrapTLS(conn, side, addr)
	self := t.opts.Self()
	member, err := authenticate(secured, self, t.opts.Key, side)
	if err != nil {
		return nil, "", err
	}
	id := core.RouterID(member.Id)
	l := newLink(t, member, conn)
	if err := t.resolveDuplicate(l, secured, self.Id < member.Id); err != nil {
		return nil, id, err
	}
	if err := t.startSession(l, secured, side); err != nil {
		t.abandon(l)
		return nil, id, err
	}
	return l, id, nil
}

// wrapTLS wraps a connection in TLS if it is enabled.
func (t *Transport) wrapTLS(conn net.Conn, side role, addr string) net.Conn {
	switch {
	case t.opts.TLS == nil:
		return conn
	case side == roleAcceptor:
		return tls.Server(conn, t.opts.TLS)
	}
	config := t.opts.TLS.Clone()
	if host, _, err := net.SplitHostPort(addr); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return tls.Client(conn, config)
}

// resolveDuplicate ensures that both sides keep the same connection if several are
// opened at a time. The side with the smaller id decides: it keeps the first
// connection that it registers and rejects others. The other side reads that
// decision and replaces an older link if the new one is kept.
func (t *Transport) resolveDuplicate(l *link, rw net.Conn, decides bool) error {
	if !decides {
		if err := readDecision(rw); err != nil {
			return err
		}
		return t.register(l, true)
	}
	if err := t.register(l, false); err != nil {
		if errors.Is(err, ErrDuplicate) {
			_ = sendDecision(rw, decisionDuplicate)
		}
		return err
	}
	if err := sendDecision(rw, decisionKeep); err != nil {
		t.abandon(l)
		return err
	}
	return nil
}

// register makes l the link to its router. An existing link is replaced if replace
// is set or if it is already closing. Otherwise register returns ErrDuplicate and
// probes the existing link, since the remote router may have lost it.
func (t *Transport) register(l *link, replace bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrClosed
	}
	if old := t.links[l.id]; old != nil {
		if !replace && !old.replaceable() {
			t.probe(old)
			return ErrDuplicate
		}
		old.closeNow(errReplaced)
		l.previous = old.done
	}
	t.probeOtherIncarnations(l)
	t.links[l.id] = l
	t.tasks.Add(1)
	return nil
}

// probe pings a link in the background; it does nothing while the link has no
// session. The caller holds t.mu.
func (t *Transport) probe(l *link) {
	if l.session == nil {
		return
	}
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		l.probe()
	}()
}

// probeOtherIncarnations pings the links to other incarnations of the same router,
// which are probably dead. The caller holds t.mu.
func (t *Transport) probeOtherIncarnations(l *link) {
	for _, other := range t.links {
		if other.member.Name == l.member.Name && other.id != l.id {
			t.probe(other)
		}
	}
}

// abandon closes and unregisters a link that was registered but never ran.
func (t *Transport) abandon(l *link) {
	l.closeNow(errClosing)
	if l.previous != nil {
		<-l.previous
	}
	t.remove(l)
	close(l.done)
}

// remove unregisters a link and ends its task.
func (t *Transport) remove(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.id] == l {
		delete(t.links, l.id)
	}
	t.tasks.Done()
}

// startSession starts the yamux session of a link, after clearing the handshake
// deadline.
func (t *Transport) startSession(l *link, conn net.Conn, side role) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "clear handshake deadline")
	}
	config := &yamux.Config{
		AcceptBacklog:          maxStreams,
		EnableKeepAlive:        false,
		KeepAliveInterval:      t.opts.KeepAlive,
		ConnectionWriteTimeout: t.opts.WriteTimeout,
		MaxStreamWindowSize:    yamuxWindow,
		StreamOpenTimeout:      streamOpenTimeout,
		StreamCloseTimeout:     bulkTimeout,
		Logger:                 sessionLogger{l.id},
	}
	newSession := yamux.Client
	if side == roleAcceptor {
		newSession = yamux.Server
	}
	session, err := newSession(&coalescingConn{Conn: conn}, config)
	if err != nil {
		return errors.Wrap(err, "start yamux session")
	}
	t.mu.Lock()
	l.session = session
	t.mu.Unlock()
	return nil
}
