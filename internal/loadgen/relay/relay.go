package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Domain tells the failure domain of the process at the other end of a
// connection; empty if it is not known.
type Domain func(net.Conn) string

// Relay takes connections at one address and carries them to another. While
// the two domains are cut from each other, bytes are held back and connections
// stay open, as when packets are lost.
type Relay struct {
	Gate   *Gate
	Target string
	// From tells the domain of a caller, To is the domain of the target.
	From Domain
	To   string
}

const (
	dialTimeout = 2 * time.Second
	bufferSize  = 32 << 10
)

// Serve carries connections until the context ends.
func (r *Relay) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go r.carry(ctx, conn)
	}
}

// carry joins a connection with one to the target until either ends.
func (r *Relay) carry(ctx context.Context, in net.Conn) {
	defer in.Close()
	from := r.From(in)
	if !r.Gate.Pass(from, r.To, ctx.Done()) {
		return
	}
	out, err := net.DialTimeout("tcp", r.Target, dialTimeout)
	if err != nil {
		return
	}
	defer out.Close()
	ended, end := context.WithCancel(ctx)
	defer end()
	// Closing both ends wakes the reads.
	context.AfterFunc(ended, func() {
		in.Close()
		out.Close()
	})
	var both sync.WaitGroup
	pass := func() bool { return r.Gate.Pass(from, r.To, ended.Done()) }
	both.Go(func() { pump(out, in, pass); end() })
	both.Go(func() { pump(in, out, pass); end() })
	both.Wait()
}

// pump copies bytes, each piece after the gate has let it pass.
func pump(to, from net.Conn, pass func() bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if !pass() {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
