package router

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// maxRecords bounds the requests whose records are kept; those that were
	// looked at or added to least recently are dropped.
	maxRecords = 4096
	// maxRecordLines bounds the lines of one record; later ones are counted only.
	maxRecordLines = 32
)

// The lines that the runtime adds itself.
const (
	lineRefused = "refused"
	lineAborted = "aborted"
	lineGranted = "granted"
	lineEnded   = "ended"
)

// Line is one step in the life of a request.
type Line struct {
	At       time.Time `json:"at"`
	What     string    `json:"what"`
	Upstream string    `json:"upstream,omitempty"`
	Detail   string    `json:"detail,omitempty"`
	// Owner and Grant name the slot of a "granted" line.
	Owner core.RouterID `json:"owner,omitempty"`
	Grant core.GrantID  `json:"grant,omitempty"`
}

// Record is what happened to one request.
type Record struct {
	Organisation string    `json:"organisation,omitempty"`
	Service      string    `json:"service,omitempty"`
	Arrived      time.Time `json:"arrived"`
	Lines        []Line    `json:"lines"`
	// Dropped is the number of lines beyond the bound.
	Dropped int `json:"dropped,omitempty"`
}

// records keeps what happened to the latest requests.
type records struct {
	mu    sync.Mutex
	cache *lru.Cache[core.RequestID, *Record]
}

func newRecords() *records {
	cache, err := lru.New[core.RequestID, *Record](maxRecords)
	if err != nil {
		panic(err) // only for a size under 1
	}
	return &records{cache: cache}
}

// start begins the record of a request that was read.
func (r *records) start(id core.RequestID, organisation, service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cache.Add(id, &Record{Organisation: organisation, Service: service, Arrived: now})
}

func (r *records) add(e core.Record, now time.Time) {
	r.appendLine(e.Request, Line{At: now, What: e.What, Upstream: e.Upstream, Detail: e.Detail, Owner: e.Owner, Grant: e.Grant})
}

// addRefusal notes the final answer that a refused request got.
func (r *records) addRefusal(e core.Refuse, now time.Time) {
	detail := fmt.Sprintf("Answered %d: %s (%s)", e.Status, e.Reason, e.Outcome)
	if e.RetryAfter > 0 {
		detail += fmt.Sprintf(", come back in %s", e.RetryAfter.Round(time.Millisecond))
	}
	r.appendLine(e.Request, Line{At: now, What: lineRefused, Detail: detail + "."})
}

// addAbort notes that an answer under way ended with an explicit error.
func (r *records) addAbort(e core.Abort, now time.Time) {
	r.appendLine(e.Request, Line{At: now, What: lineAborted, Detail: fmt.Sprintf("Ended by an error: %s (%s).", e.Reason, e.Outcome)})
}

func (r *records) appendLine(id core.RequestID, line Line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.cache.Get(id)
	if !ok {
		record = &Record{Arrived: line.At}
		r.cache.Add(id, record)
	}
	if len(record.Lines) >= maxRecordLines {
		record.Dropped++
		return
	}
	record.Lines = append(record.Lines, line)
}

// get returns a copy of a request's record.
func (r *records) get(id core.RequestID) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.cache.Get(id)
	if !ok {
		return Record{}, false
	}
	out := *record
	out.Lines = append([]Line(nil), record.Lines...)
	return out, true
}
