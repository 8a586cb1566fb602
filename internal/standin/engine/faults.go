package engine

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
)

// StreamFault is a fault that affects connections once they have sent a number of
// tokens.
type StreamFault struct {
	// Count is the number of connections to affect; -1 means all.
	Count int `json:"count"`
	// AfterTokens is the number of tokens sent before the fault takes effect.
	AfterTokens int `json:"after_tokens"`
}

// Faults selects the faults to inject; the zero value injects none.
type Faults struct {
	// SlowFactor multiplies the time of each token for the duration SlowFor, or
	// until the faults are replaced if SlowFor is 0.
	SlowFactor float64        `json:"slow_factor"`
	SlowFor    control.Millis `json:"slow_for_ms"`
	// StragglerPart is the fraction of the streams, chosen by a hash of the stream
	// id, that take StragglerFactor steps for each token.
	StragglerPart   float64 `json:"straggler_part"`
	StragglerFactor int     `json:"straggler_factor"`
	// Stall keeps a connection open without sending anything more.
	Stall StreamFault `json:"stall"`
	// Cut closes a connection in the middle of an answer.
	Cut StreamFault `json:"cut"`
	// Poison crashes the engine when a request body contains this text.
	Poison string `json:"poison"`
	// Fail answers 500 to each request.
	Fail bool `json:"fail"`
	// NotRun is the number of requests to answer with 503 and the outcome
	// "not-run"; -1 means all.
	NotRun int `json:"not_run"`
	// Refuse closes the listening socket, so that new connections are refused.
	Refuse bool `json:"refuse"`
	// Silence drops all further data on the connections that are open when the
	// faults are set; later connections work.
	Silence bool `json:"silence"`
	// LoadLag, if set, replaces Options.LoadLag.
	LoadLag *control.Millis `json:"load_lag_ms,omitempty"`
}

// stepsPerToken returns the number of steps that a token of the stream takes.
func (f Faults) stepsPerToken(id string) int {
	const scale = 1 << 20
	if f.StragglerFactor > 1 && float64(mix(promptSeed(id))%scale) < f.StragglerPart*scale {
		return f.StragglerFactor
	}
	return 1
}

// setFaults replaces the faults of the batch and starts the time of SlowFor.
func (b *batch) setFaults(faults Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
	b.slowUntil = time.Time{}
	if faults.SlowFor > 0 {
		b.slowUntil = time.Now().Add(faults.SlowFor.Duration())
	}
}

func (b *batch) getFaults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// connFault is a fault to apply to one connection.
type connFault int

const (
	connFaultNone connFault = iota
	connFaultStall
	connFaultCut
)

// consumeConnFault returns the fault that is due on a connection that has sent
// this number of tokens, and decrements its count.
func (b *batch) consumeConnFault(sent int) connFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Stall.consumeAt(sent) {
		return connFaultStall
	}
	if b.faults.Cut.consumeAt(sent) {
		return connFaultCut
	}
	return connFaultNone
}

// consumeAt reports whether the fault is due after sent tokens and, if so,
// decrements its count.
func (f *StreamFault) consumeAt(sent int) bool { return sent >= f.AfterTokens && consumeOne(&f.Count) }

// consumeNotRun reports whether the NotRun fault applies to a request and
// decrements its count.
func (b *batch) consumeNotRun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return consumeOne(&b.faults.NotRun)
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
