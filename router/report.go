package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/burn"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/reducer"
)

// defaultWindows are the windows of a report when none are asked for, in
// minutes: 5 minutes, an hour and 6 hours.
var defaultWindows = []int{5, 60, 360}

// ledger is the burn ledger, guarded: the reducer's loop, callers' handlers and
// peers' questions meet here.
type ledger struct {
	mu sync.Mutex
	*burn.Ledger
}

// observed passes a measure on to the metrics and the ledger.
func (r *Router) observed(e core.Observe) {
	r.metrics.observe(e)
	k := burn.Key{Service: e.Service, Organisation: e.Organisation}
	now, took := time.Now(), time.Duration(e.Value*float64(time.Second))
	r.burn.mu.Lock()
	defer r.burn.mu.Unlock()
	switch e.Metric {
	case core.MetricWait:
		r.burn.Took(now, k, burn.Wait, took, r.objectives(e.Service))
	case core.MetricFirst:
		r.burn.Took(now, k, burn.First, took, r.objectives(e.Service))
	case core.MetricGap:
		r.burn.Took(now, k, burn.Gap, took, r.objectives(e.Service))
	case core.MetricAnswer:
		r.burn.Took(now, k, burn.Whole, took, r.objectives(e.Service))
	case core.MetricRetried:
		r.burn.Retried(now, k)
	}
}

// refused counts a refusal and adds it to the request's record.
func (r *Router) refused(e core.Refuse) {
	r.metrics.refused(e)
	r.records.refuse(e, time.Now())
	r.missed(e.Request, e.Reason)
}

// aborted notes an answer that ended with an explicit error.
func (r *Router) aborted(e core.Abort) {
	r.records.abort(e, time.Now())
	r.missed(e.Request, e.Reason)
}

// missed notes a request without a whole answer against its objectives.
func (r *Router) missed(id core.RequestID, reason core.Reason) {
	c := r.call(id)
	if c == nil {
		return // refused before it was read; the caller's own fault
	}
	r.burn.mu.Lock()
	defer r.burn.mu.Unlock()
	r.burn.Refused(time.Now(), burn.Key{Service: c.service.Name, Organisation: c.organisation}, reason)
}

// objectives are those in force for a service, none if it is not known.
func (r *Router) objectives(service string) config.Objectives {
	if index := r.index.Load(); index != nil {
		if sv, ok := index.Service(service); ok {
			return sv.Objectives
		}
	}
	return config.Objectives{}
}

// reportDocument is this router's answer to a question, compressed.
func (r *Router) reportDocument(arg string) ([]byte, error) {
	var q burn.Question
	if err := json.Unmarshal([]byte(arg), &q); err != nil {
		return nil, errors.Wrap(err, "decode the question")
	}
	if err := q.Check(); err != nil {
		return nil, err
	}
	r.burn.mu.Lock()
	doc, err := r.burn.Document(time.Now(), q)
	r.burn.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return doc.Pack()
}

// serveReport merges the documents of all routers that can be reached.
func (r *Router) serveReport(w http.ResponseWriter, req *http.Request) {
	q, err := reportQuestion(req.URL.Query().Get("windows"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report, err := r.report(req.Context(), q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

func (r *Router) report(ctx context.Context, q burn.Question) (burn.Report, error) {
	var to, dead []core.RouterID
	var objectives map[string]config.Objectives
	ok := r.look(ctx, func(s *reducer.State) {
		to, dead = s.Reachable()
		objectives = s.Objectives()
	})
	if !ok {
		return burn.Report{}, errStopping
	}
	arg, err := json.Marshal(q)
	if err != nil {
		panic(err) // a question always has a form in JSON
	}
	merger := burn.NewMerger(time.Now(), q)
	for _, id := range dead {
		merger.Missing(string(id), errors.New("counts as dead here"))
	}
	r.askAll(ctx, to, queryReport, string(arg), func(id core.RouterID, data []byte, err error) {
		var doc burn.Document
		if err == nil {
			doc, err = burn.Unpack(data)
		}
		if err != nil {
			merger.Missing(string(id), err)
			return
		}
		merger.Add(string(id), &doc)
	})
	return merger.Report(objectives), nil
}

// reportQuestion reads windows such as "5m,1h,6h"; none means the default ones.
func reportQuestion(text string) (burn.Question, error) {
	q := burn.Question{Windows: defaultWindows}
	if text != "" {
		q.Windows = nil
		for item := range strings.SplitSeq(text, ",") {
			d, err := time.ParseDuration(item)
			if err != nil || d%time.Minute != 0 {
				return q, errors.Errorf("%q is not a window in whole minutes, such as 5m", item)
			}
			q.Windows = append(q.Windows, int(d/time.Minute))
		}
	}
	return q, q.Check()
}
