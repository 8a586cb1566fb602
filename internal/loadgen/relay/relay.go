package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// DomainFunc tells the failure domain of the process at the other end of a
// connection; empty if it is not known.
type DomainFunc func(net.Conn) string

// Relay takes connections at one address and carries them to another. While
// the two domains are cut from each other, bytes are held back and connections
// stay open, as when packets are lost.
type Relay struct {
	Partition *Partition
	Target    string
	// CallerDomain tells the domain of a caller, To is the domain of the target.
	CallerDomain DomainFunc
	TargetDomain string
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
		go r.forward(ctx, conn)
	}
}

// forward joins a connection with one to the target until either ends.
func (r *Relay) forward(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	callerDomain := r.CallerDomain(caller)
	if !r.Partition.WaitReachable(callerDomain, r.TargetDomain, ctx.Done()) {
		return
	}
	target, err := net.DialTimeout("tcp", r.Target, dialTimeout)
	if err != nil {
		return
	}
	defer target.Close()
	connCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Closing both ends wakes the reads.
	context.AfterFunc(connCtx, func() {
		caller.Close()
		target.Close()
	})
	var copies sync.WaitGroup
	waitReachable := func() bool { return r.Partition.WaitReachable(callerDomain, r.TargetDomain, connCtx.Done()) }
	copies.Go(func() { copyWhileReachable(target, caller, waitReachable); cancel() })
	copies.Go(func() { copyWhileReachable(caller, target, waitReachable); cancel() })
	copies.Wait()
}

// copyWhileReachable copies bytes, each piece after the gate has let it pass.
func copyWhileReachable(to, from net.Conn, waitReachable func() bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if !waitReachable() {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}
