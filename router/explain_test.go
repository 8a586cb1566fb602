package router

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/config"
	"github.com/jujubeford/jujubeford/internal/burn"
	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/owner"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// msAfterNoon returns the time ms milliseconds after noon.
func msAfterNoon(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func TestSummary(t *testing.T) {
	lead := 120.0
	asked := OwnerExplanation{Router: "r2.1", ExplainReply: owner.ExplainReply{
		ServedMeanwhile: []owner.ServedOrganisation{{Organisation: "drummers", Grants: 4, Lead: &lead}, {Organisation: "fiddlers", Grants: 1}},
		Granted: []owner.Decision{{
			Grant: 9, Upstream: "e1", Waiting: 2,
			Considered: []owner.ConsideredUpstream{{Upstream: "e1", Free: 1}, {Upstream: "e2", Slow: true}},
			Standings:  []owner.Standing{{Organisation: "fiddlers", VirtualTime: 70}, {Organisation: "drummers", VirtualTime: 90}},
		}},
	}}
	rows := []struct {
		name  string
		lines []RecordLine
		owner OwnerExplanation
		want  []string
	}{
		{"waited behind another organisation", []RecordLine{
			{At: msAfterNoon(0), What: "queued"}, {At: msAfterNoon(80), What: lineGranted, Upstream: "e1", Owner: "r2.1", Grant: 9},
			{At: msAfterNoon(80), What: "sent", Upstream: "e1"}, {At: msAfterNoon(90), What: "hedged", Upstream: "e2"},
			{At: msAfterNoon(200), What: lineEnded, Detail: "complete"},
		}, asked, []string{
			"It waited 80.0 ms for a slot.",
			"In that time r2.1 granted slots of assistant to drummers 4 times (ahead: it had received 120 less for its share), fiddlers 1 times (its own earlier requests).",
			"r2.1 granted a slot of e1; upstreams weighed: e1 with 1 free, e2 with 0 free, slow; organisations that waited: 2 (by service for their share: fiddlers at 70, drummers at 90).",
			"It was sent to e1.", "No token came in time, so it was sent a second time, to e2.", "It ended: complete.",
		}},
		{"a replay for the same idempotency key", []RecordLine{
			{At: msAfterNoon(1), What: lineGranted, Upstream: "p1", Owner: "r2.1", Grant: 8},
			{At: msAfterNoon(1), What: "claiming", Upstream: "p1"}, {At: msAfterNoon(3), What: lineEnded, Detail: "replayed"},
		}, OwnerExplanation{Router: "r2.1"}, []string{
			"A slot was free: it waited 1.0 ms.", "r2.1 granted a slot of p1; why is not kept there any more.",
			"As it must run at most once, it had to win its claim before p1 was asked.",
			"Nothing ran: it got the answer that is recorded for its idempotency key.",
		}},
		{"refused after waiting", []RecordLine{
			{At: msAfterNoon(0), What: "queued"}, {At: msAfterNoon(900), What: lineRefused, Detail: "Answered 503: wait-too-long (not-run)."},
		}, OwnerExplanation{Router: "r2.1", Error: "router r2.1 did not answer"}, []string{
			"It got no slot in 900.0 ms.", "What r2.1 decided is not known: router r2.1 did not answer.",
			"Answered 503: wait-too-long (not-run).",
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			e := Explanation{
				Router: "r1.1", Owners: []OwnerExplanation{row.owner},
				Record: Record{Organisation: "fiddlers", Service: "assistant", Arrived: noon, Lines: row.lines},
			}
			e.measureWait(msAfterNoon(1000))
			gomega.NewWithT(t).Expect(e.summarise()[1:]).To(gomega.Equal(row.want))
		})
	}
}

func TestRecordsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRecords()
	for range maxRecordLines + 3 {
		r.add(core.Record{Request: "r1.1-1", Event: "retried"}, noon)
	}
	record, ok := r.get("r1.1-1")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(record.Lines).To(gomega.HaveLen(maxRecordLines))
	g.Expect(record.Dropped).To(gomega.Equal(3))
	for i := range maxRecords {
		r.start(core.RequestID("r1.1-x"+string(rune(i))), "fiddlers", "assistant", noon)
	}
	_, ok = r.get("r1.1-1")
	g.Expect(ok).To(gomega.BeFalse())
}

// getAdmin sends a GET request to the router's admin handler.
func getAdmin(r *Router, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.adminMux().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

func TestAdminEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestRouter(t, core.Instances{Upstreams: []core.Upstream{{ID: "e1", Service: "assistant", Domain: "ga-east/a"}}})
	id := r.newRequestID()
	r.records.start(id, "fiddlers", "assistant", time.Now())
	r.records.addRefusal(core.Refuse{Request: id, Status: 429, Reason: core.ReasonQueueFull, Outcome: core.NotRun}, time.Now())

	var e Explanation
	g.Expect(json.Unmarshal(getAdmin(r, "/v1/explain/"+string(id)).Body.Bytes(), &e)).To(gomega.Succeed())
	g.Expect(e.Summary).To(gomega.ContainElement("Answered 429: queue-full (not-run)."))
	g.Expect(e.Owners).To(gomega.HaveLen(1), "this router owns the upstream")

	for path, want := range map[string]int{
		"/v1/explain/nonsense":  http.StatusBadRequest,
		"/v1/explain/r9.1-1":    http.StatusNotFound,
		"/v1/report?windows=7s": http.StatusBadRequest,
		"/v1/report?windows=7h": http.StatusBadRequest,
		"/v1/report":            http.StatusOK,
		"/v1/status?fleet=true": http.StatusOK,
	} {
		g.Expect(getAdmin(r, path).Code).To(gomega.Equal(want), path)
	}

	var status FleetStatus
	g.Expect(json.Unmarshal(getAdmin(r, "/v1/status").Body.Bytes(), &status)).To(gomega.Succeed())
	g.Expect(status.Routers[0].ID).To(gomega.Equal(r.self.ID))
	g.Expect(status.Routers[0].State).To(gomega.BeEquivalentTo("alive"))
}

func TestRefusalsAndAbortsSpendErrorBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestRouter(t)
	c := &call{id: "r1.1-1", organisation: "fiddlers", service: &config.Service{Name: "assistant"}, commands: make(chan core.Effect, commandQueueSize)}
	r.addCall(c)
	r.executeEffect(core.Refuse{Request: c.id, Reason: core.ReasonQueueFull, Outcome: core.NotRun})
	r.executeEffect(core.Abort{Request: c.id, Reason: core.ReasonUpstreamFailed, Outcome: core.MayHaveRun})
	r.executeEffect(core.Refuse{Request: "r1.1-2", Reason: core.ReasonQueueFull, Outcome: core.NotRun})

	report, err := r.report(context.Background(), burn.Query{Windows: []int{5}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(report.Worst).To(gomega.HaveLen(1))
	g.Expect(report.Worst[0].Bad).To(gomega.BeEquivalentTo(2))
	g.Expect(report.Routers).To(gomega.HaveLen(1))
	g.Expect(report.Routers[0].Error).To(gomega.BeEmpty())
}

func TestInvalidQueriesReturnErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestRouter(t)
	_, err := r.document(context.Background(), "nonsense", "")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unknown query")))
	_, err = r.document(context.Background(), queryDecisions, "not JSON")
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = r.queryPeer(context.Background(), "r9.1", queryReport, "")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("no address of router r9.1")))
}
