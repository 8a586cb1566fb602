package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// queryTimeout is how long a peer may take to answer a query.
const queryTimeout = 2 * time.Second

// The kinds of query between routers.
const (
	queryExplain = "explain"
)

// queries matches peers' answers to the questions of this router.
type queries struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *wire.QueryReply
}

func newQueries() *queries {
	return &queries{waiting: make(map[uint64]chan *wire.QueryReply)}
}

func (q *queries) open() (uint64, chan *wire.QueryReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last++
	reply := make(chan *wire.QueryReply, 1)
	q.waiting[q.last] = reply
	return q.last, reply
}

func (q *queries) close(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
}

func (q *queries) answer(m *wire.QueryReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply := q.waiting[m.Id]; reply != nil {
		select {
		case reply <- m:
		default: // a doubled answer
		}
	}
}

// askPeer puts a question to another router.
func (r *Router) askPeer(ctx context.Context, to core.RouterID, kind, arg string) ([]byte, error) {
	id, reply := r.queries.open()
	defer r.queries.close(id)
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sent := r.peers.Send(to, &wire.Envelope{Body: &wire.Envelope_Query{Query: &wire.Query{Id: id, Kind: kind, Arg: arg}}})
	if !sent {
		return nil, errors.Errorf("router %s cannot be reached", to)
	}
	select {
	case m := <-reply:
		if m.Error != "" {
			return nil, errors.New(m.Error)
		}
		return m.Json, nil
	case <-ctx.Done():
		return nil, errors.Errorf("router %s did not answer", to)
	}
}

// query answers a peer's question, or takes its answer to one of ours. It
// returns false for messages of other kinds.
func (r *Router) query(from core.RouterID, m *wire.Envelope) bool {
	switch m := m.Body.(type) {
	case *wire.Envelope_Query:
		reply := &wire.QueryReply{Id: m.Query.Id}
		data, err := r.document(m.Query.Kind, m.Query.Arg)
		if err != nil {
			reply.Error = err.Error()
		}
		reply.Json = data
		r.peers.Send(from, &wire.Envelope{Body: &wire.Envelope_QueryReply{QueryReply: reply}})
	case *wire.Envelope_QueryReply:
		r.queries.answer(m.QueryReply)
	default:
		return false
	}
	return true
}

// document is this router's own answer to a query.
func (r *Router) document(kind, arg string) ([]byte, error) {
	switch kind {
	case queryExplain:
		lines, ok := r.records.get(core.RequestID(arg))
		if !ok {
			return nil, errors.Errorf("router %s has no record of %s", r.self.ID, arg)
		}
		return json.Marshal(lines)
	default:
		return nil, errors.Errorf("unknown query %q", kind)
	}
}

// serveExplain answers from this router's record, or from that of the router
// which took the request in and whose name the request id starts with.
func (r *Router) serveExplain(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	home, _, ok := cutLast(id, "-")
	if !ok {
		http.Error(w, "not a request id", http.StatusBadRequest)
		return
	}
	var data []byte
	var err error
	if core.RouterID(home) == r.self.ID {
		data, err = r.document(queryExplain, id)
	} else {
		data, err = r.askPeer(req.Context(), core.RouterID(home), queryExplain, id)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}
