package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// DomainFunc returns the failure domain of the process at the remote end of a
// connection, or an empty string if it is unknown.
type DomainFunc func(net.Conn) string

// Relay is a TCP proxy in front of one target. While the partition separates the
// caller's failure domain from the target's, the relay holds back bytes and keeps
// connections open, as if packets were lost.
type Relay struct {
	Partition *Partition
	// Target is the address that connections are forwarded to.
	Target string
	// CallerDomain returns the failure domain of a caller.
	CallerDomain DomainFunc
	// TargetDomain is the failure domain of the target; empty for the platform.
	TargetDomain string
}

const (
	dialTimeout = 2 * time.Second
	bufferSize  = 32 << 10
)

// Serve accepts and forwards connections until ctx is done.
func (r *Relay) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept relay connection")
		}
		go r.forward(ctx, conn)
	}
}

// forward connects to the target and copies bytes in both directions until either
// connection ends.
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
	// Closing both connections unblocks the pending reads.
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

// copyWhileReachable copies bytes from one connection to the other. Before each
// write it calls waitReachable, and stops if that returns false.
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
