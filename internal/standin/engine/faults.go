package engine

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
)

// StreamFault hits streams that have sent a number of tokens.
type StreamFault struct {
	// Count is how many streams it hits; -1 means all.
	Count int `json:"count"`
	// AfterTokens is how many tokens a hit connection has sent before.
	AfterTokens int `json:"after_tokens"`
}

// Faults is what is switched on at the moment; the zero value is none.
type Faults struct {
	// SlowFactor multiplies the time of each token, for SlowFor or, if that is
	// 0, until the faults change.
	SlowFactor float64        `json:"slow_factor"`
	SlowFor    control.Millis `json:"slow_for_ms"`
	// StragglerPart of the streams, chosen by their ids, take StragglerFactor
	// steps for each token.
	StragglerPart   float64 `json:"straggler_part"`
	StragglerFactor int     `json:"straggler_factor"`
	// Stall keeps a stream's connection open but silent for good.
	Stall StreamFault `json:"stall"`
	// Cut closes a stream's connection.
	Cut StreamFault `json:"cut"`
	// Poison crashes the engine when a request contains this text.
	Poison string `json:"poison"`
	// Fail answers 500 to each request.
	Fail bool `json:"fail"`
	// NotRun is how many requests are answered with 503 and "not-run"; -1 means
	// all.
	NotRun int `json:"not_run"`
	// Refuse makes the operating system refuse new connections.
	Refuse bool `json:"refuse"`
	// Silence makes the connections that are open now silent for good; once.
	Silence bool `json:"silence"`
	// LoadLag is how late the load report is; without it the lag stays.
	LoadLag *control.Millis `json:"load_lag_ms,omitempty"`
}

// stepsPerToken is how many steps a token of the stream takes.
func (f Faults) stepsPerToken(id string) int {
	const scale = 1 << 20
	if f.StragglerFactor > 1 && float64(mix(promptSeed(id))%scale) < f.StragglerPart*scale {
		return f.StragglerFactor
	}
	return 1
}

// setFaults puts faults in force in place of those before.
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

// connFault is what hits a connection.
type connFault int

const (
	connFaultNone connFault = iota
	connFaultStall
	connFaultCut
)

// consumeConnFault says what hits a connection that has sent a number of tokens.
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

// consumeAt uses up one of the fault's count.
func (f *StreamFault) consumeAt(sent int) bool { return sent >= f.AfterTokens && consumeOne(&f.Count) }

// consumeNotRun reports whether a request is answered as not run.
func (b *batch) consumeNotRun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return consumeOne(&b.faults.NotRun)
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
