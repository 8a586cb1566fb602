package plain

import (
	"net/http"
	"sync"

	"github.com/jujubeford/jujubeford/internal/standin/control"
)

// Faults is what is switched on at the moment; the zero value is none. Counters
// run down as requests use them up; -1 means all requests.
type Faults struct {
	// CutBefore closes the connection before the body is read; not run.
	CutBefore int `json:"cut_before"`
	// CutAfter closes the connection after the request ran, without an answer.
	CutAfter int `json:"cut_after"`
	// CutMid closes the connection in the middle of the answer.
	CutMid int `json:"cut_mid"`
	// SilentBefore reads the request, does not run it and never answers.
	SilentBefore int `json:"silent_before"`
	// SilentAfter runs the request and never answers.
	SilentAfter int `json:"silent_after"`
	// NotRun answers 503, which means that the request did not run.
	NotRun int `json:"not_run"`
	// Fail answers 500 after the request ran.
	Fail int `json:"fail"`
	// Slow is added to each request's time.
	Slow control.Millis `json:"slow_ms"`
	// Refuse makes the operating system refuse new connections.
	Refuse bool `json:"refuse"`
	// Silence makes the connections that are open now silent for good; once.
	Silence bool `json:"silence"`
}

// requestFault is what becomes of one request.
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

// consumeNext uses up one of the counters for a request.
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

// consumeOne uses up one of a counter; a negative counter never runs down.
func consumeOne(counter *int) bool {
	if *counter == 0 {
		return false
	}
	if *counter > 0 {
		*counter--
	}
	return true
}

// abortConnection ends a request without an answer.
func abortConnection() { panic(http.ErrAbortHandler) }
