//go:build review

package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// ports are the ports that a router uses on its address, as in the settings template.
var ports = []int{FrontPort, ReadyPort, ControlPort, internalFirst, internalFirst + 1, internalFirst + 2}

// The ports of a router. They are the same on all machines of a deployment.
const (
	FrontPort     = 8783
	ReadyPort     = 8780
	ControlPort   = 8785
	internalFirst = 7400
	internalLast  = 7415
)

// Hosts returns n loopback addresses on which the ports of a router are free.
func Hosts(n int) ([]string, error) {
	for range 50 {
		a, b := 20+rand.IntN(200), 1+rand.IntN(250)
		hosts := make([]string, 0, n)
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("127.%d.%d.%d", a, b, 1+i))
		}
		if free(hosts) {
			return hosts, nil
		}
	}
	return nil, fmt.Errorf("no block of %d loopback addresses with free ports", n)
}

func free(hosts []string) bool {
	for _, h := range hosts {
		for _, p := range ports {
			ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h, p))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// WaitFor polls until ok reports true, and reports whether it did in time.
func WaitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
