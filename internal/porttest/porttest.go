// Package porttest hands loopback addresses to tests that start processes or
// servers which bind the address later.
//
// A port that the kernel picked and that the test closed again may be picked for
// somebody else before it is bound. These ports lie below the range from which
// kernels pick, and each is given out once: processes that test side by side
// share the range out in blocks.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

const (
	// firstPort and endPort (not included) bound the ports given out: above those
	// of well-known services, below 16000, where gVisor begins to pick ports for
	// outgoing connections; Linux does at 32768 (ip_local_port_range).
	firstPort = 6000
	endPort   = 16000
	// blockPorts is the number of ports in a block; the first one only marks the
	// block as taken. The largest fleet of the tests binds about 60.
	blockPorts = 100
	blockCount = (endPort - firstPort) / blockPorts
)

var sharedPool pool

// Address returns a loopback address that nothing listens on and that no other
// call returns while this process lives.
func Address(tb testing.TB) string {
	tb.Helper()
	addr, err := Next()
	if err != nil {
		tb.Fatal(err)
	}
	return addr
}

// Listener listens on an address of its own. A port that was bound a moment ago may
// not be free at once, so a test that listens itself does not bind it twice.
func Listener(tb testing.TB) net.Listener {
	tb.Helper()
	ln, err := sharedPool.listenNext()
	if err != nil {
		tb.Fatal(err)
	}
	return ln
}

// Pair returns the two ends of a TCP connection, which close with the test.
func Pair(tb testing.TB) (near, far net.Conn) {
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

// Next is Address for examples, which have no testing.TB.
func Next() (string, error) { return sharedPool.nextAddress() }

// pool gives out the ports of the blocks that it holds.
type pool struct {
	mu           sync.Mutex
	triedBlocks  int            // blocks looked at
	reservations []net.Listener // kept open: they hold the blocks
	nextPort     int            // the next port of the block in use
	blockEnd     int            // the first port after that block
}

func (p *pool) nextAddress() (string, error) {
	ln, err := p.listenNext()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// listenNext binds the next port that is free.
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

// reserveBlock holds the next block that no process holds. Processes begin at
// different blocks so that they seldom meet.
func (p *pool) reserveBlock() error {
	for ; p.triedBlocks < blockCount; p.triedBlocks++ {
		first := firstPort + (os.Getpid()+p.triedBlocks)%blockCount*blockPorts
		reservation, err := listenPort(first)
		if err != nil {
			continue // held by another process
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
