package kv

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
)

// Outage is how the service fails while it is out.
type Outage string

// The outages.
const (
	// OutageNone: the service works.
	OutageNone Outage = ""
	// OutageError: each call is answered with status 500 and does nothing.
	OutageError Outage = "error"
	// OutageSilent: calls do nothing and are never answered.
	OutageSilent Outage = "silent"
	// OutageRefuse: connections are refused, and open ones are closed.
	OutageRefuse Outage = "refuse"
)

// Faults is what is switched on at the moment; the zero value is none. Counters
// run down as calls use them up; -1 means all calls.
type Faults struct {
	Outage Outage `json:"outage"`
	// Slow delays each call before it takes effect.
	Slow control.Millis `json:"slow_ms"`
	// LoseAnswers is how many writes take effect but have their connection cut
	// in place of an answer.
	LoseAnswers int `json:"lose_answers"`
	// LateWrites is how many writes have their connection cut at once and take
	// effect after LateBy or, if that is 0, at the next ReleaseLate.
	LateWrites int            `json:"late_writes"`
	LateBy     control.Millis `json:"late_by_ms"`
	// ReleaseLate lets the writes that are held back take effect; once.
	ReleaseLate bool `json:"release_late"`
	// DropWrites is how many writes have their connection cut and never take
	// effect.
	DropWrites int `json:"drop_writes"`
	// Prefix limits LoseAnswers, LateWrites and DropWrites to keys under it.
	Prefix string `json:"prefix"`
	// StaleReads serves the values of the moment when it was switched on.
	StaleReads bool `json:"stale_reads"`
	// FrozenList keeps the instance list as it is.
	FrozenList bool `json:"frozen_list"`
	// ListLag is how late the instance list shows a change; without it the lag
	// stays.
	ListLag *control.Millis `json:"list_lag_ms,omitempty"`
	// Silence makes the connections that are open now silent for good; once.
	Silence bool `json:"silence"`
	// ResetIndex numbers all indexes anew from 1; once.
	ResetIndex bool `json:"reset_index"`
}

// writeFault is what becomes of one write.
type writeFault int

const (
	writeNormal writeFault = iota
	writeAnswerLost
	writeLate
	writeDropped
)

// faultSet is the faults in force.
type faultSet struct {
	mu      sync.Mutex
	current Faults
	held    []func()
}

// applyLater lets a write take effect after a while, or at the next release.
func (f *faultSet) applyLater(delay time.Duration, apply func()) {
	if delay > 0 {
		time.AfterFunc(delay, apply)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = append(f.held, apply)
}

// releaseHeld lets the writes that are held back take effect, in order.
func (f *faultSet) releaseHeld() {
	f.mu.Lock()
	held := f.held
	f.held = nil
	f.mu.Unlock()
	for _, apply := range held {
		apply()
	}
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

// consumeWriteFault draws what becomes of a write to key.
func (f *faultSet) consumeWriteFault(key string) (writeFault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !strings.HasPrefix(key, f.current.Prefix) {
		return writeNormal, 0
	}
	switch {
	case consumeOne(&f.current.LoseAnswers):
		return writeAnswerLost, 0
	case consumeOne(&f.current.LateWrites):
		return writeLate, f.current.LateBy.Duration()
	case consumeOne(&f.current.DropWrites):
		return writeDropped, 0
	}
	return writeNormal, 0
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

// delay waits for the slowness in force; false if the caller has gone.
func (f *faultSet) delay(ctx context.Context) bool {
	slow := f.get().Slow.Duration()
	if slow == 0 {
		return true
	}
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// answerOutage answers a call during an outage; false if there is none.
func (f *faultSet) answerOutage(w http.ResponseWriter, r *http.Request) bool {
	switch f.get().Outage {
	case OutageError:
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return true
	case OutageSilent:
		<-r.Context().Done()
		return true
	case OutageRefuse:
		panic(http.ErrAbortHandler)
	}
	return false
}
