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
	// maxOwnersAsked bounds the owners that are asked about one request.
	maxOwnersAsked = 8
	// ownerQueryTimeout is how long they may take; it is under queryTimeout, as the
	// asker may itself be waiting for this router.
	ownerQueryTimeout = time.Second
)

// Explanation is why a request waited, went where it went and ended as it did.
type Explanation struct {
	Request core.RequestID `json:"request"`
	// Router took the request in.
	Router core.RouterID `json:"router"`
	Record
	// WaitedMS is the time to the first slot, or to the end without one, in
	// milliseconds; Granted says which.
	WaitedMS float64 `json:"waited_ms"`
	Granted  bool    `json:"granted"`
	// Owners are what owners decided while it waited.
	Owners []OwnerExplanation `json:"owners,omitempty"`
	// Summary is the explanation in sentences.
	Summary []string `json:"summary"`
}

// OwnerExplanation is one owner's part in a request's wait.
type OwnerExplanation struct {
	Router core.RouterID `json:"router"`
	// Error is why there is no answer; empty if there is one.
	Error string `json:"error,omitempty"`
	owner.Answer
}

// serveExplain answers from this router's record, or through the router which
// took the request in and whose name the request id starts with.
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

// receivingRouter is the router that took a request in.
func receivingRouter(id core.RequestID) (core.RouterID, bool) {
	i := strings.LastIndex(string(id), "-")
	if i <= 0 {
		return "", false
	}
	return core.RouterID(id[:i]), true
}

// explainDocument explains a request that this router took in.
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

// measureWait finds the end of the wait for the first slot.
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

// queryOwners asks the owners that granted a slot, and a few of those that did not.
func (r *Router) queryOwners(ctx context.Context, now time.Time, e *Explanation) {
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	age := now.Sub(e.Arrived).Milliseconds()
	question := owner.Question{
		Service: e.Service, Organisation: e.Organisation,
		FromMS: age + 1, ToMS: max(0, age-int64(e.WaitedMS)-1),
	}
	var owners []core.RouterID
	for _, line := range e.Lines {
		if line.What == lineGranted {
			question.Grants = append(question.Grants, line.Grant)
			owners = append(owners, line.Owner)
		}
	}
	r.withState(ctx, func(s *reducer.State) { owners = append(owners, s.Owners(e.Service)...) })
	owners = unique(owners)
	owners = owners[:min(len(owners), maxOwnersAsked)]
	arg, err := json.Marshal(question)
	if err != nil {
		panic(err) // a question always has a form in JSON
	}
	r.queryAll(ctx, owners, queryDecisions, string(arg), func(id core.RouterID, data []byte, err error) {
		answer := OwnerExplanation{Router: id}
		if err == nil {
			err = json.Unmarshal(data, &answer.Answer)
		}
		if err != nil {
			answer.Error = err.Error()
		}
		e.Owners = append(e.Owners, answer)
	})
	slices.SortFunc(e.Owners, func(a, b OwnerExplanation) int { return strings.Compare(string(a.Router), string(b.Router)) })
}

// unique drops repeated ids and keeps the order.
func unique(ids []core.RouterID) []core.RouterID {
	var out []core.RouterID
	for _, id := range ids {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// decisionsDocument is this router's answer as an owner.
func (r *Router) decisionsDocument(ctx context.Context, arg string) ([]byte, error) {
	var question owner.Question
	if err := json.Unmarshal([]byte(arg), &question); err != nil {
		return nil, errors.Wrap(err, "decode the question")
	}
	var answer owner.Answer
	if !r.withState(ctx, func(s *reducer.State) { answer = s.Explain(time.Now(), question) }) {
		return nil, errStopping
	}
	return json.Marshal(answer)
}
