package plain

import (
	"net/http"
	"sync"

	"github.com/jujubeford/jujubeford/internal/standin/control"
)

// Faults selects the faults to inject; the zero value injects none. An integer
// field is the number of requests to affect and counts down; -1 means all.
type Faults struct {
	// CutBefore closes the connection before the body is read and doesn't run the
	// request.
	CutBefore int `json:"cut_before"`
	// CutAfter runs the request and closes the connection without an answer.
	CutAfter int `json:"cut_after"`
	// CutMid runs the request and closes the connection in the middle of the
	// answer.
	CutMid int `json:"cut_mid"`
	// SilentBefore reads the request, doesn't run it and never answers.
	SilentBefore int `json:"silent_before"`
	// SilentAfter runs the request and never answers.
	SilentAfter int `json:"silent_after"`
	// NotRun answers 503 with the outcome "not-run" and doesn't run the request.
	NotRun int `json:"not_run"`
	// Fail runs the request and answers 500.
	Fail int `json:"fail"`
	// Slow is added to the service time of each request.
	Slow control.Millis `json:"slow_ms"`
	// Refuse closes the listening socket, so that new connections are refused.
	Refuse bool `json:"refuse"`
	// Silence drops all further data on the connections that are open when the
	// faults are set; later connections work.
	Silence bool `json:"silence"`
}

// requestFault is the fault that affects one request.
type requestFault int

const (
	faultNone requestFault = iota
	faultCutBefore
	faultCutAfter
	faultCutMid
	faultSilentBefore
	faultSilentAfter
	faultNotRun
	faultFail
)

// faultSet holds the injected faults.
type faultSet struct {
	mu      sync.Mutex
	current Faults
}

func (f *faultSet) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
}

func (f *faultSet) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// consumeNext returns the fault for the next request, the first in the list whose
// counter is not at zero, and decrements that counter.
func (f *faultSet) consumeNext() requestFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	counters := []struct {
		remaining *int
		fault     requestFault
	}{
		{&f.current.CutBefore, faultCutBefore},
		{&f.current.CutAfter, faultCutAfter},
		{&f.current.CutMid, faultCutMid},
		{&f.current.SilentBefore, faultSilentBefore},
		{&f.current.SilentAfter, faultSilentAfter},
		{&f.current.NotRun, faultNotRun},
		{&f.current.Fail, faultFail},
	}
	for _, counter := range counters {
		if consumeOne(counter.remaining) {
			return counter.fault
		}
	}
	return faultNone
}

// consumeOne decrements a counter and returns false if it is at zero. A negative
// counter is unlimited and stays.
func consumeOne(counter *int) bool {
	if *counter == 0 {
		return false
	}
	if *counter > 0 {
		*counter--
	}
	return true
}

// abortConnection makes the HTTP server close the connection of the current
// request without completing the response.
func abortConnection() { panic(http.ErrAbortHandler) }
