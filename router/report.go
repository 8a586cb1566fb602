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

// defaultWindowMinutes are the windows of a report if the request names none: 5
// minutes, 1 hour and 6 hours.
var defaultWindowMinutes = []int{5, 60, 360}

// lockedLedger guards the burn ledger, which the reducer's loop, callers' handlers and
// queries of peers access concurrently.
type lockedLedger struct {
	mu sync.Mutex
	*burn.Ledger
}

// recordObservation adds an observed value to the metrics and to the burn ledger.
func (r *Router) recordObservation(e core.Observe) {
	r.metrics.observe(e)
	k := burn.Key{Service: e.Service, Organisation: e.Organisation}
	now, duration := time.Now(), time.Duration(e.Value*float64(time.Second))
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	switch e.Metric {
	case core.MetricQueueTime:
		r.ledger.RecordLatency(now, k, burn.WaitLatency, duration, r.objectives(e.Service))
	case core.MetricTimeToFirstByte:
		r.ledger.RecordLatency(now, k, burn.FirstByteLatency, duration, r.objectives(e.Service))
	case core.MetricTokenGap:
		r.ledger.RecordLatency(now, k, burn.TokenGapLatency, duration, r.objectives(e.Service))
	case core.MetricResponseTime:
		r.ledger.RecordLatency(now, k, burn.AnswerLatency, duration, r.objectives(e.Service))
	case core.MetricRetried:
		r.ledger.RecordRetry(now, k)
	}
}

// recordRefusal adds a refusal to the metrics, the request's record and the burn
// ledger.
func (r *Router) recordRefusal(e core.Refuse) {
	r.metrics.countRefusal(e)
	r.records.addRefusal(e, time.Now())
	r.recordFailure(e.Request, e.Reason)
}

// recordAbort adds an answer that ended with an explicit error to the request's record
// and the burn ledger.
func (r *Router) recordAbort(e core.Abort) {
	r.records.addAbort(e, time.Now())
	r.recordFailure(e.Request, e.Reason)
}

// recordFailure counts a request without a complete answer in the burn ledger.
func (r *Router) recordFailure(id core.RequestID, reason core.Reason) {
	c := r.findCall(id)
	if c == nil {
		return // refused on admission, such as for a bad request; not counted
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.ledger.RecordRefusal(time.Now(), burn.Key{Service: c.service.Name, Organisation: c.organisation}, reason)
}

// objectives returns the objectives in force for a service, or none if the service is
// unknown.
func (r *Router) objectives(service string) config.Objectives {
	if index := r.index.Load(); index != nil {
		if sv, ok := index.Service(service); ok {
			return sv.Objectives
		}
	}
	return config.Objectives{}
}

// reportDocument returns, compressed, this router's part of a report; arg is a
// burn.Query in JSON.
func (r *Router) reportDocument(arg string) ([]byte, error) {
	var query burn.Query
	if err := json.Unmarshal([]byte(arg), &query); err != nil {
		return nil, errors.Wrap(err, "decode the question")
	}
	if err := query.Check(); err != nil {
		return nil, err
	}
	r.ledger.mu.Lock()
	doc, err := r.ledger.Document(time.Now(), query)
	r.ledger.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return doc.Pack()
}

// serveReport answers with a report merged from all reachable routers.
func (r *Router) serveReport(w http.ResponseWriter, req *http.Request) {
	query, err := parseReportQuery(req.URL.Query().Get("windows"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report, err := r.report(req.Context(), query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

// report queries all reachable routers and merges their documents. Routers that are
// dead or do not answer are listed as missing.
func (r *Router) report(ctx context.Context, query burn.Query) (burn.Report, error) {
	var reachable, dead []core.RouterID
	var objectives map[string]config.Objectives
	ok := r.withState(ctx, func(s *reducer.State) {
		reachable, dead = s.Reachable()
		objectives = s.Objectives()
	})
	if !ok {
		return burn.Report{}, errStopping
	}
	arg, err := json.Marshal(query)
	if err != nil {
		panic(err) // a Query can always be encoded
	}
	merger := burn.NewMerger(time.Now(), query)
	for _, id := range dead {
		merger.AddMissing(string(id), errors.New("counts as dead here"))
	}
	r.queryAll(ctx, reachable, queryReport, string(arg), func(id core.RouterID, data []byte, err error) {
		var doc burn.Document
		if err == nil {
			doc, err = burn.Unpack(data)
		}
		if err != nil {
			merger.AddMissing(string(id), err)
			return
		}
		merger.Add(string(id), &doc)
	})
	return merger.Report(objectives), nil
}

// parseReportQuery parses windows such as "5m,1h,6h"; an empty text means
// defaultWindowMinutes.
func parseReportQuery(text string) (burn.Query, error) {
	query := burn.Query{Windows: defaultWindowMinutes}
	if text != "" {
		query.Windows = nil
		for item := range strings.SplitSeq(text, ",") {
			d, err := time.ParseDuration(item)
			if err != nil || d%time.Minute != 0 {
				return query, errors.Errorf("%q is not a window in whole minutes, such as 5m", item)
			}
			query.Windows = append(query.Windows, int(d/time.Minute))
		}
	}
	return query, query.Check()
}
