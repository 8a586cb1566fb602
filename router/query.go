package router

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// queryTimeout bounds the time a peer may take to answer a query.
const queryTimeout = 2 * time.Second

// maxConcurrentReplies bounds the queries of other routers that are answered at the
// same time; maxConcurrentQueries bounds the queries in flight for one operator's
// request.
const (
	maxConcurrentReplies = 8
	maxConcurrentQueries = 16
)

// errBusy rejects a query beyond maxConcurrentReplies.
var errBusy = errors.New("too many questions at a time")

// queryKind names the document that a query asks for.
type queryKind string

// Kinds of queries between routers.
const (
	// queryExplain asks for the record of a request, by its id.
	queryExplain queryKind = "explain"
	// queryDecisions asks an owner for the decisions that match an
	// owner.ExplainRequest in JSON.
	queryDecisions queryKind = "decisions"
	// queryGranted asks an owner for its upstreams and its backlog.
	queryGranted queryKind = "granted"
	// queryReport asks for the burn.Document of a burn.Query in JSON.
	queryReport queryKind = "report"
)

// queries matches the replies of peers to this router's pending queries, and limits the
// queries that this router answers at the same time.
type queries struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *wire.QueryReply
	// replySlots is a semaphore for the queries being answered.
	replySlots chan struct{}
}

func newQueries() *queries {
	return &queries{
		pending:    make(map[uint64]chan *wire.QueryReply),
		replySlots: make(chan struct{}, maxConcurrentReplies),
	}
}

// acquireReplySlot reports whether one more query may be answered now. If so,
// releaseReplySlot must follow.
func (q *queries) acquireReplySlot() bool {
	select {
	case q.replySlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (q *queries) releaseReplySlot() { <-q.replySlots }

// register returns the id of a new pending query and the channel for its reply.
func (q *queries) register() (uint64, chan *wire.QueryReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	reply := make(chan *wire.QueryReply, 1)
	q.pending[q.lastID] = reply
	return q.lastID, reply
}

// unregister removes a pending query; a later reply to it is ignored.
func (q *queries) unregister(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, id)
}

// deliver passes a reply to its pending query, if there still is one.
func (q *queries) deliver(m *wire.QueryReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply := q.pending[m.Id]; reply != nil {
		select {
		case reply <- m:
		default: // a duplicate reply
		}
	}
}

// queryPeer sends a query to another router: over the peer connection, or to its admin
// port if there is none.
func (r *Router) queryPeer(ctx context.Context, to core.RouterID, kind queryKind, arg string) ([]byte, error) {
	id, reply := r.queries.register()
	defer r.queries.unregister(id)
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sent := r.peers.Send(to, &wire.Envelope{Body: &wire.Envelope_Query{Query: &wire.Query{Id: id, Kind: string(kind), Arg: arg}}})
	if !sent {
		return r.queryAdminPort(ctx, to, kind, arg)
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

// queryAll sends a query to several routers, at most maxConcurrentQueries at a time,
// and passes each result to handle as it arrives. Calls of handle are serialised.
func (r *Router) queryAll(ctx context.Context, to []core.RouterID, kind queryKind, arg string, handle func(core.RouterID, []byte, error)) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, id := range to {
		slots <- struct{}{}
		group.Go(func() {
			data, err := r.queryRouter(ctx, id, kind, arg)
			mu.Lock()
			handle(id, data, err)
			mu.Unlock()
			<-slots
		})
	}
	group.Wait()
}

// queryRouter sends a query to any router; this router answers its own directly.
func (r *Router) queryRouter(ctx context.Context, to core.RouterID, kind queryKind, arg string) ([]byte, error) {
	if to == r.self.ID {
		return r.document(ctx, kind, arg)
	}
	return r.queryPeer(ctx, to, kind, arg)
}

// handleQueryMessage answers a peer's query, or delivers a peer's reply to a query of
// this router. It returns false for messages of other kinds.
func (r *Router) handleQueryMessage(from core.RouterID, m *wire.Envelope) bool {
	switch m := m.Body.(type) {
	case *wire.Envelope_Query:
		r.answerQuery(from, m.Query)
	case *wire.Envelope_QueryReply:
		r.queries.deliver(m.QueryReply)
	default:
		return false
	}
	return true
}

// answerQuery answers a peer's query in its own goroutine, so as not to block the peer
// connection. Queries beyond maxConcurrentReplies are rejected with errBusy.
func (r *Router) answerQuery(to core.RouterID, q *wire.Query) {
	if !r.queries.acquireReplySlot() {
		r.sendReply(to, &wire.QueryReply{Id: q.Id, Error: errBusy.Error()})
		return
	}
	go func() {
		defer r.queries.releaseReplySlot()
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		reply := &wire.QueryReply{Id: q.Id}
		data, err := r.document(ctx, queryKind(q.Kind), q.Arg)
		if err != nil {
			reply.Error = err.Error()
		}
		reply.Json = data
		r.sendReply(to, reply)
	}()
}

func (r *Router) sendReply(to core.RouterID, m *wire.QueryReply) {
	r.peers.Send(to, &wire.Envelope{Body: &wire.Envelope_QueryReply{QueryReply: m}})
}

// document returns this router's answer to a query.
func (r *Router) document(ctx context.Context, kind queryKind, arg string) ([]byte, error) {
	switch kind {
	case queryExplain:
		return r.explainDocument(ctx, core.RequestID(arg))
	case queryDecisions:
		return r.decisionsDocument(ctx, arg)
	case queryGranted:
		return r.grantedDocument(ctx)
	case queryReport:
		return r.reportDocument(arg)
	default:
		return nil, errors.Errorf("unknown query %q", kind)
	}
}
