package kv

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jujubeford/jujubeford/internal/standin/control"
)

// Outage selects how all calls fail during an outage.
type Outage string

// Kinds of outage.
const (
	// OutageNone means that there is no outage.
	OutageNone Outage = ""
	// OutageError answers each call with status 500 without any effect.
	OutageError Outage = "error"
	// OutageSilent never answers calls, which have no effect.
	OutageSilent Outage = "silent"
	// OutageRefuse refuses new connections and closes open ones.
	OutageRefuse Outage = "refuse"
)

// Faults selects the faults to inject; the zero value injects none. An integer
// field is the number of writes to affect and counts down; -1 means all.
type Faults struct {
	Outage Outage `json:"outage"`
	// Slow delays each call before it takes effect.
	Slow control.Millis `json:"slow_ms"`
	// LoseAnswers applies a write and closes its connection without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LateWrites closes the connection of a write at once and applies the write
	// after LateBy or, if that is 0, at the next ReleaseLate.
	LateWrites int            `json:"late_writes"`
	LateBy     control.Millis `json:"late_by_ms"`
	// ReleaseLate applies the writes held back by LateWrites when the faults are
	// set.
	ReleaseLate bool `json:"release_late"`
	// DropWrites closes the connection of a write and never applies the write.
	DropWrites int `json:"drop_writes"`
	// Prefix limits LoseAnswers, LateWrites and DropWrites to keys with this
	// prefix.
	Prefix string `json:"prefix"`
	// StaleReads answers reads of keys from a snapshot taken when it was enabled.
	StaleReads bool `json:"stale_reads"`
	// FrozenList stops updates of the visible instance list.
	FrozenList bool `json:"frozen_list"`
	// ListLag, if set, replaces Options.ListLag.
	ListLag *control.Millis `json:"list_lag_ms,omitempty"`
	// Silence drops all further data on the connections that are open when the
	// faults are set; later connections work.
	Silence bool `json:"silence"`
	// ResetIndex renumbers all indexes from 1 when the faults are set.
	ResetIndex bool `json:"reset_index"`
}

// writeFault is the fault that affects one write.
type writeFault int

const (
	writeNormal writeFault = iota
	writeAnswerLost
	writeLate
	writeDropped
)

// faultSet holds the injected faults and the writes that they hold back.
type faultSet struct {
	mu      sync.Mutex
	current Faults
	held    []func()
}

// applyLater applies a write after delay or, if that is 0, at the next call of
// releaseHeld.
func (f *faultSet) applyLater(delay time.Duration, apply func()) {
	if delay > 0 {
		time.AfterFunc(delay, apply)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = append(f.held, apply)
}

// releaseHeld applies the writes that are held back, in their order of arrival.
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

// consumeWriteFault returns the fault for a write to key and decrements its
// counter. The duration is the delay of writeLate.
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

// delay blocks for Faults.Slow. It returns false if the caller disconnected.
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

// applyOutage fails a call if an outage is injected: with status 500, by blocking
// until the caller disconnects, or by aborting the handler, which closes the
// connection. It returns false without an effect if there is no outage.
func (f *faultSet) applyOutage(w http.ResponseWriter, r *http.Request) bool {
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
