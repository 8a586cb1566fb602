package router

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// maxRecords bounds the requests whose records are kept; the least recently used
	// records are evicted.
	maxRecords = 4096
	// maxRecordLines bounds the lines of one record; further lines are only counted.
	maxRecordLines = 32
)

// Values of RecordLine.What that this package uses; the reducer defines the others.
const (
	lineRefused = "refused"
	lineAborted = "aborted"
	lineGranted = "granted"
	lineEnded   = "ended"
)

// RecordLine is one step of a request's record.
type RecordLine struct {
	At       time.Time `json:"at"`
	What     string    `json:"what"`
	Upstream string    `json:"upstream,omitempty"`
	Detail   string    `json:"detail,omitempty"`
	// Owner and Grant identify the slot of a "granted" line.
	Owner core.RouterID `json:"owner,omitempty"`
	Grant core.GrantID  `json:"grant,omitempty"`
}

// Record lists the steps of one request.
type Record struct {
	Organisation string       `json:"organisation,omitempty"`
	Service      string       `json:"service,omitempty"`
	Arrived      time.Time    `json:"arrived"`
	Lines        []RecordLine `json:"lines"`
	// Dropped is the number of lines beyond maxRecordLines, which were not kept.
	Dropped int `json:"dropped,omitempty"`
}

// records keeps the records of recent requests.
type records struct {
	mu    sync.Mutex
	cache *lru.Cache[core.RequestID, *Record]
}

func newRecords() *records {
	cache, err := lru.New[core.RequestID, *Record](maxRecords)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &records{cache: cache}
}

// start creates the record of an admitted request.
func (r *records) start(id core.RequestID, organisation, service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cache.Add(id, &Record{Organisation: organisation, Service: service, Arrived: now})
}

// add appends a line from the reducer to a request's record.
func (r *records) add(e core.Record, now time.Time) {
	r.appendLine(e.Request, RecordLine{At: now, What: e.Event, Upstream: e.Upstream, Detail: e.Detail, Owner: e.Owner, Grant: e.Grant})
}

// addRefusal appends the final answer of a refused request.
func (r *records) addRefusal(e core.Refuse, now time.Time) {
	detail := fmt.Sprintf("Answered %d: %s (%s)", e.Status, e.Reason, e.Outcome)
	if e.RetryAfter > 0 {
		detail += fmt.Sprintf(", come back in %s", e.RetryAfter.Round(time.Millisecond))
	}
	r.appendLine(e.Request, RecordLine{At: now, What: lineRefused, Detail: detail + "."})
}

// addAbort appends that an answer in progress ended with an explicit error.
func (r *records) addAbort(e core.Abort, now time.Time) {
	r.appendLine(e.Request, RecordLine{At: now, What: lineAborted, Detail: fmt.Sprintf("Ended by an error: %s (%s).", e.Reason, e.Outcome)})
}

// appendLine appends a line to a request's record and creates the record if needed.
func (r *records) appendLine(id core.RequestID, line RecordLine) {
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
	out.Lines = append([]RecordLine(nil), record.Lines...)
	return out, true
}
