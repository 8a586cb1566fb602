package router

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

// queryTimeout is how long a peer may take to answer a query.
const queryTimeout = 2 * time.Second

// queriesMost bounds the peers' questions that are answered at a time, and
// asksMost the questions that one operator's request has under way.
const (
	maxConcurrentReplies = 8
	maxConcurrentQueries = 16
)

// errBusy turns a question away.
var errBusy = errors.New("too many questions at a time")

// queryKind names a document that a router answers with.
type queryKind string

// The kinds of query between routers.
const (
	// queryExplain asks for the record of a request, by its id.
	queryExplain queryKind = "explain"
	// queryDecisions asks an owner for its latest decisions, by an owner.Question
	// in JSON.
	queryDecisions queryKind = "decisions"
	// queryGranted asks an owner for its upstreams and what waits there.
	queryGranted queryKind = "granted"
	// queryReport asks for a burn.Document, by a burn.Question in JSON.
	queryReport queryKind = "report"
)

// queries matches peers' answers to the questions of this router.
type queries struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *wire.QueryReply
	// replySlots is a semaphore of the answers being made.
	replySlots chan struct{}
}

func newQueries() *queries {
	return &queries{
		pending:    make(map[uint64]chan *wire.QueryReply),
		replySlots: make(chan struct{}, maxConcurrentReplies),
	}
}

// acquireReplySlot reports whether one more question may be answered now; end must follow.
func (q *queries) acquireReplySlot() bool {
	select {
	case q.replySlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (q *queries) releaseReplySlot() { <-q.replySlots }

func (q *queries) register() (uint64, chan *wire.QueryReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	reply := make(chan *wire.QueryReply, 1)
	q.pending[q.lastID] = reply
	return q.lastID, reply
}

func (q *queries) unregister(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, id)
}

func (q *queries) deliver(m *wire.QueryReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply := q.pending[m.Id]; reply != nil {
		select {
		case reply <- m:
		default: // a doubled answer
		}
	}
}

// queryPeer puts a question to another router.
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

// queryAll puts a question to several routers, a few at a time, and passes each
// answer on as it comes; take is not called concurrently.
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

// queryRouter puts a question to any router, this one included.
func (r *Router) queryRouter(ctx context.Context, to core.RouterID, kind queryKind, arg string) ([]byte, error) {
	if to == r.self.ID {
		return r.document(ctx, kind, arg)
	}
	return r.queryPeer(ctx, to, kind, arg)
}

// handleQueryMessage answers a peer's question, or takes its answer to one of ours. It
// returns false for messages of other kinds.
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

// answerQuery answers a peer's question without holding up its connection. Questions
// beyond a few at a time are turned away.
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

// document is this router's own answer to a query.
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
