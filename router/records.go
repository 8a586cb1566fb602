package router

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// recordsMost bounds the requests whose records are kept.
	recordsMost = 4096
	// linesMost bounds the lines of one record.
	linesMost = 32
)

// Line is one step in the life of a request.
type Line struct {
	At       time.Time `json:"at"`
	What     string    `json:"what"`
	Upstream string    `json:"upstream,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

// records keeps what happened to the latest requests.
type records struct {
	mu    sync.Mutex
	cache *lru.Cache[core.RequestID, []Line]
}

func newRecords() *records {
	cache, err := lru.New[core.RequestID, []Line](recordsMost)
	if err != nil {
		panic(err) // only for a size under 1
	}
	return &records{cache: cache}
}

func (r *records) add(e core.Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines, _ := r.cache.Get(e.Request)
	if len(lines) >= linesMost {
		return
	}
	r.cache.Add(e.Request, append(lines, Line{At: now, What: e.What, Upstream: e.Upstream, Detail: e.Detail}))
}

func (r *records) get(id core.RequestID) ([]Line, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines, ok := r.cache.Get(id)
	return append([]Line(nil), lines...), ok
}
