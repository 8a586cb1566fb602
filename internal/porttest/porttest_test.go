package porttest

import (
	"net"
	"strconv"
	"testing"
)

func TestPortsAreGivenOutOnce(t *testing.T) {
	// Two pools simulate two test processes that run in parallel.
	var a, b pool
	seen := make(map[string]bool)
	for range 2 * blockPorts {
		for _, p := range []*pool{&a, &b} {
			addr, err := p.nextAddress()
			if err != nil {
				t.Fatal(err)
			}
			if seen[addr] {
				t.Fatalf("%s was given out twice", addr)
			}
			seen[addr] = true
		}
	}
}

func TestPortsLieBelowThoseThatTheKernelPicks(t *testing.T) {
	addr := Address(t)
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := strconv.Atoi(port); err != nil || n < firstPort || n >= endPort {
		t.Errorf("%s is outside %d to %d", addr, firstPort, endPort-1)
	}
}

func TestTakenPortIsPassedOver(t *testing.T) {
	var p pool
	first, err := p.nextAddress()
	if err != nil {
		t.Fatal(err)
	}
	taken, err := listenPort(p.nextPort)
	if err != nil {
		t.Fatalf("the port after %s: %v", first, err)
	}
	defer taken.Close()
	next, err := p.nextAddress()
	if err != nil {
		t.Fatal(err)
	}
	if next == taken.Addr().String() {
		t.Errorf("%s is in use and was given out", next)
	}
}
