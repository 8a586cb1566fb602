package router

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/owner"
	"github.com/jujubeford/jujubeford/internal/reducer"
)

const (
	// maxOwnersAsked bounds the owners that are queried about one request.
	maxOwnersAsked = 8
	// ownerQueryTimeout bounds the queries to owners. It is shorter than
	// queryTimeout, as another router may be waiting for this router's explanation.
	ownerQueryTimeout = time.Second
)

// Explanation describes why a request waited, where it was sent and how it ended.
type Explanation struct {
	Request core.RequestID `json:"request"`
	// Router is the router that received the request.
	Router core.RouterID `json:"router"`
	Record
	// WaitedMS is the wait in milliseconds: from the arrival to the first granted
	// slot, or to the end of the request, or to now. Granted reports whether a slot
	// was granted.
	WaitedMS float64 `json:"waited_ms"`
	Granted  bool    `json:"granted"`
	// Owners holds the decisions of owners while the request waited.
	Owners []OwnerExplanation `json:"owners,omitempty"`
	// Summary is the explanation in English sentences.
	Summary []string `json:"summary"`
}

// OwnerExplanation holds one owner's decisions during a request's wait.
type OwnerExplanation struct {
	Router core.RouterID `json:"router"`
	// Error says why the owner's answer is missing; empty if the owner answered.
	Error string `json:"error,omitempty"`
	owner.ExplainReply
}

// serveExplain answers with the explanation of a request. It comes from the router
// that received the request, whose id is the first part of the request id.
func (r *Router) serveExplain(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	receiver, ok := receivingRouter(core.RequestID(id))
	if !ok {
		http.Error(w, "not a request id: it has the form ROUTER.INCARNATION-NUMBER", http.StatusBadRequest)
		return
	}
	data, err := r.queryRouter(req.Context(), receiver, queryExplain, id)
	if err != nil {
		err = errors.WithMessagef(err, "records are kept in memory by the incarnation that took the request in, %s", receiver)
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

// receivingRouter returns the id of the router that received a request: the part of
// the request id before the last hyphen.
func receivingRouter(id core.RequestID) (core.RouterID, bool) {
	i := strings.LastIndex(string(id), "-")
	if i <= 0 {
		return "", false
	}
	return core.RouterID(id[:i]), true
}

// explainDocument returns, in JSON, the explanation of a request that this router
// received.
func (r *Router) explainDocument(ctx context.Context, id core.RequestID) ([]byte, error) {
	record, ok := r.records.get(id)
	if !ok {
		return nil, errors.Errorf("router %s has no record of %s", r.self.ID, id)
	}
	now := time.Now()
	e := Explanation{Request: id, Router: r.self.ID, Record: record}
	e.measureWait(now)
	if record.Service != "" {
		r.queryOwners(ctx, now, &e)
	}
	e.Summary = e.summarise()
	return json.Marshal(e)
}

// measureWait sets WaitedMS and Granted from the record: the wait ends with the first
// slot, with a refusal or with the request.
func (e *Explanation) measureWait(now time.Time) {
	end := now
	for _, line := range e.Lines {
		if line.What == lineGranted || line.What == lineRefused || line.What == lineEnded {
			e.Granted = line.What == lineGranted
			end = line.At
			break
		}
	}
	e.WaitedMS = float64(end.Sub(e.Arrived)) / float64(time.Millisecond)
}

// queryOwners queries the owners that granted the request a slot and then the
// service's other owners, up to maxOwnersAsked.
func (r *Router) queryOwners(ctx context.Context, now time.Time, e *Explanation) {
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	age := now.Sub(e.Arrived).Milliseconds()
	request := owner.ExplainRequest{
		Service: e.Service, Organisation: e.Organisation,
		FromMS: age + 1, ToMS: max(0, age-int64(e.WaitedMS)-1),
	}
	var owners []core.RouterID
	for _, line := range e.Lines {
		if line.What == lineGranted {
			request.Grants = append(request.Grants, line.Grant)
			owners = append(owners, line.Owner)
		}
	}
	r.withState(ctx, func(s *reducer.State) { owners = append(owners, s.Owners(e.Service)...) })
	owners = unique(owners)
	owners = owners[:min(len(owners), maxOwnersAsked)]
	arg, err := json.Marshal(request)
	if err != nil {
		panic(err) // an ExplainRequest can always be encoded
	}
	r.queryAll(ctx, owners, queryDecisions, string(arg), func(id core.RouterID, data []byte, err error) {
		answer := OwnerExplanation{Router: id}
		if err == nil {
			err = json.Unmarshal(data, &answer.ExplainReply)
		}
		if err != nil {
			answer.Error = err.Error()
		}
		e.Owners = append(e.Owners, answer)
	})
	slices.SortFunc(e.Owners, func(a, b OwnerExplanation) int { return strings.Compare(string(a.Router), string(b.Router)) })
}

// unique removes duplicate ids and keeps the order.
func unique(ids []core.RouterID) []core.RouterID {
	var out []core.RouterID
	for _, id := range ids {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// decisionsDocument returns, in JSON, what this router decided as an owner; arg is an
// owner.ExplainRequest in JSON.
func (r *Router) decisionsDocument(ctx context.Context, arg string) ([]byte, error) {
	var request owner.ExplainRequest
	if err := json.Unmarshal([]byte(arg), &request); err != nil {
		return nil, errors.Wrap(err, "decode the question")
	}
	var answer owner.ExplainReply
	if !r.withState(ctx, func(s *reducer.State) { answer = s.Explain(time.Now(), request) }) {
		return nil, errStopping
	}
	return json.Marshal(answer)
}
