// Package porttest allocates loopback addresses for tests that start processes or
// servers which bind the address later.
//
// If a test lets the kernel pick a port and closes it again, the kernel may assign
// that port to another socket before the test binds it. The ports of this package
// lie below the kernels' ephemeral range, and each is allocated once. Test
// processes that run in parallel reserve disjoint blocks of ports.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

const (
	// firstPort and endPort (exclusive) bound the allocated ports. They lie above
	// the ports of well-known services and below 16000, where the ephemeral range
	// of gVisor begins; that of Linux begins at 32768 (ip_local_port_range).
	firstPort = 6000
	endPort   = 16000
	// blockPorts is the number of ports in a block. The first one is kept bound to
	// reserve the block. The largest fleet of the tests binds about 60 ports.
	blockPorts = 100
	blockCount = (endPort - firstPort) / blockPorts
)

var sharedPool pool

// Address returns a loopback address that nothing listens on. No other call
// returns the same address during the lifetime of the process.
func Address(tb testing.TB) string {
	tb.Helper()
	addr, err := NextAddress()
	if err != nil {
		tb.Fatal(err)
	}
	return addr
}

// Listener returns a listener on a newly allocated address. Unlike with Address,
// the port is not closed and bound again, which can fail shortly after closing.
func Listener(tb testing.TB) net.Listener {
	tb.Helper()
	ln, err := sharedPool.listenNext()
	if err != nil {
		tb.Fatal(err)
	}
	return ln
}

// ConnPair returns the two ends of a TCP connection. Both are closed at the end of the
// test.
func ConnPair(tb testing.TB) (near, far net.Conn) {
	tb.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer ln.Close()
	if far, err = net.Dial("tcp4", ln.Addr().String()); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { far.Close() })
	if near, err = ln.Accept(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { near.Close() })
	return near, far
}

// NextAddress is like Address but returns an error, for examples, which have no
// testing.TB.
func NextAddress() (string, error) { return sharedPool.nextAddress() }

// pool allocates ports from the blocks that it has reserved.
type pool struct {
	mu           sync.Mutex
	triedBlocks  int            // number of blocks that were reserved or found taken
	reservations []net.Listener // kept open, because they reserve the blocks
	nextPort     int            // next port to try in the current block
	blockEnd     int            // first port after the current block
}

func (p *pool) nextAddress() (string, error) {
	ln, err := p.listenNext()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// listenNext binds the next free port.
func (p *pool) listenNext() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for ; p.nextPort < p.blockEnd; p.nextPort++ {
			if ln, err := listenPort(p.nextPort); err == nil {
				p.nextPort++
				return ln, nil
			}
		}
		if err := p.reserveBlock(); err != nil {
			return nil, err
		}
	}
}

// reserveBlock reserves the next block that no process has reserved. The first
// block to try depends on the process id, so that processes rarely collide.
func (p *pool) reserveBlock() error {
	for ; p.triedBlocks < blockCount; p.triedBlocks++ {
		first := firstPort + (os.Getpid()+p.triedBlocks)%blockCount*blockPorts
		reservation, err := listenPort(first)
		if err != nil {
			continue // reserved by another process
		}
		p.triedBlocks++
		p.reservations = append(p.reservations, reservation)
		p.nextPort, p.blockEnd = first+1, first+blockPorts
		return nil
	}
	return fmt.Errorf("no port is free from %d to %d", firstPort, endPort-1)
}

func listenPort(port int) (net.Listener, error) {
	return net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
}
