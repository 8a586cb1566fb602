package peer

import (
	"bufio"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// streamKind is the first byte of a stream and tells what it carries.
type streamKind byte

const (
	streamControl streamKind = iota + 1
	streamBulk
)

// writeControl writes control frames until the queue is closed and empty. It closes
// the stream only after the last bulk frame has been sent, because the peer closes
// the link when the control stream ends.
func (l *link) writeControl() {
	defer l.writers.Done()
	stream, err := l.openStream(streamControl)
	if err != nil {
		l.closeNow(err)
		return
	}
	defer stream.Close()
	var spare []byte
	for {
		frames, done := l.queue.takeControl(spare)
		if done {
			l.waitFor(l.bulkDone)
			return
		}
		if len(frames) == 0 {
			spare = nil
			if !l.waitFor(l.queue.controlReady) {
				return
			}
			continue
		}
		stream.SetWriteDeadline(time.Now().Add(l.transport.opts.WriteTimeout))
		if _, err := stream.Write(frames); err != nil {
			l.closeNow(errors.Wrap(err, "write control frames"))
			return
		}
		spare = frames
	}
}

// writeBulk writes each bulk frame on a stream of its own.
func (l *link) writeBulk() {
	defer l.writers.Done()
	defer close(l.bulkDone)
	for {
		frame, done := l.queue.takeBulk()
		if done {
			return
		}
		if frame == nil {
			if !l.waitFor(l.queue.bulkReady) {
				return
			}
			continue
		}
		if err := l.writeBulkFrame(frame); err != nil {
			l.closeNow(errors.Wrap(err, "write bulk frame"))
			return
		}
	}
}

// writeBulkFrame writes one bulk frame on a new stream. It returns when the peer has
// read the frame and closed the stream.
func (l *link) writeBulkFrame(frame []byte) error {
	stream, err := l.openStream(streamBulk)
	if err != nil {
		return err
	}
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(bulkTimeout))
	if _, err := stream.Write(appendFrame(nil, frame)); err != nil {
		return err
	}
	if _, err := stream.Read(make([]byte, 1)); err != io.EOF {
		return errors.Wrap(err, "wait for the peer to close the bulk stream")
	}
	return nil
}

// openStream opens a stream and writes its kind.
func (l *link) openStream(kind streamKind) (*yamux.Stream, error) {
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	if _, err := stream.Write([]byte{byte(kind)}); err != nil {
		return nil, errors.Wrap(err, "write stream kind")
	}
	return stream, nil
}

// waitFor waits until ready is signalled or closed. It returns false if the link is
// closed first.
func (l *link) waitFor(ready <-chan struct{}) bool {
	select {
	case <-ready:
		return true
	case <-l.closed:
		return false
	}
}

// acceptStreams accepts and reads the peer's streams until the link is closed. At
// most maxStreams are read concurrently.
func (l *link) acceptStreams() {
	defer l.readers.Done()
	slots := make(chan struct{}, maxStreams)
	for {
		slots <- struct{}{}
		stream, err := l.session.AcceptStream()
		if err != nil {
			l.closeNow(errors.Wrap(errRemoteClosed, err.Error()))
			return
		}
		l.readers.Add(1)
		go func() {
			defer l.readers.Done()
			defer func() { <-slots }()
			defer stream.Close()
			if err := l.readStream(stream); err != nil {
				l.closeNow(err)
			}
		}()
	}
}

// readStream reads one stream. The caller closes the link on an error.
func (l *link) readStream(stream *yamux.Stream) error {
	reader := bufio.NewReader(stream)
	kind, err := reader.ReadByte()
	if err != nil {
		return errors.Wrap(err, "read stream kind")
	}
	switch streamKind(kind) {
	case streamControl:
		isFirst := false
		l.controlOnce.Do(func() { isFirst = true })
		if !isFirst {
			return errSecondControl
		}
		return l.readControl(reader)
	case streamBulk:
		stream.SetReadDeadline(time.Now().Add(bulkTimeout))
		return l.readBulk(reader)
	default:
		return errStreamKind
	}
}

// readControl reads and delivers control frames. At the end of the stream it starts
// a graceful close of the link.
func (l *link) readControl(reader *bufio.Reader) error {
	for {
		frame, err := readFrame(reader, maxControlSize)
		if err == io.EOF {
			close(l.remoteDone)
			l.shutdown()
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read control frame")
		}
		if err := l.deliver(frame); err != nil {
			return err
		}
	}
}

// readBulk reads and delivers one bulk frame. The transport's bulkSlots bound the
// number of bulk frames in memory.
func (l *link) readBulk(reader *bufio.Reader) error {
	select {
	case l.transport.bulkSlots <- struct{}{}:
	case <-l.closed:
		return nil
	}
	defer func() { <-l.transport.bulkSlots }()
	frame, err := readFrame(reader, maxBulkSize)
	if err != nil {
		return errors.Wrap(err, "read bulk frame")
	}
	return l.deliver(frame)
}

// deliver decodes a frame and passes its envelope to the handler.
func (l *link) deliver(frame []byte) error {
	env, err := decodeEnvelope(frame)
	if err != nil {
		return err
	}
	l.transport.counters.countReceived(env, len(frame))
	l.transport.opts.Handler.Message(l.id, env)
	return nil
}
