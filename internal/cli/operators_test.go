package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/burn"
	"github.com/jujubeford/jujubeford/internal/owner"
	"github.com/jujubeford/jujubeford/internal/reducer"
	"github.com/jujubeford/jujubeford/router"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func ageMS(ms int64) *int64 { return &ms }

func fleetStatus() router.FleetStatus {
	return router.FleetStatus{
		Status: reducer.Status{
			Router: "r1.a", Domain: "ga-east/a", Taken: noon, Started: noon.Add(-time.Minute), Ready: true,
			Generation: 7, Digest: "sha256:12",
			Routers: []reducer.RouterStatus{
				{ID: "r1.a", Name: "r1", State: reducer.RouterAlive, Generation: 7, AgeMS: ageMS(0)},
				{ID: "r2.b", Name: "r2", State: reducer.RouterAlive, Generation: 6, AgeMS: ageMS(250)},
				{ID: "r2.a", Name: "r2", State: reducer.RouterDead, ReplacedBy: "r2.b", Generation: 7},
			},
			Upstreams: []reducer.UpstreamStatus{
				{ID: "e1", Service: "assistant", Owner: "r1.a", Owned: &owner.UpstreamStatus{Slots: 8, Granted: 7, Free: 1, Speed: 5, Best: 20, Slow: true}},
				{ID: "e2", Service: "assistant", Owner: "r2.b", Leaving: true},
			},
			Backlog: []owner.Backlog{{Service: "assistant", Organisation: "fiddlers", Share: 2, Waiting: 31, OldestMS: 420, Served: 900, VirtualTimeGap: 55}},
		},
		Asked: []router.OwnerQueryStatus{{Router: "r2.b", Error: "router r2.b did not answer"}},
	}
}

func burnReport() burn.Report {
	objective := burn.ObjectiveReport{
		Signal: "first token", BoundMS: 1600, Target: 0.95, BudgetLeft: -0.5,
		Windows: []burn.Burn{{Minutes: 5, Rate: 1.5, Count: burn.Count{Total: 40, Bad: 3}}},
	}
	return burn.Report{
		Taken: noon, Windows: []int{5},
		Routers:  []burn.RouterPart{{Router: "r1.a", Dropped: 4}, {Router: "r2.b", Error: "did not answer"}},
		Services: []burn.ServiceReport{{Name: "<assistant>", Objectives: []burn.ObjectiveReport{objective}, Minutes: []burn.Minute{{At: noon.Unix() / 60}}}},
		Organisations: []burn.OrganisationReport{{
			Key: burn.Key{Service: "assistant", Organisation: "fiddlers"}, Objectives: []burn.ObjectiveReport{objective},
		}},
		Worst: []burn.WorstMinute{{Key: burn.Key{Organisation: "fiddlers"}, Start: noon, Bad: 3, Cause: burn.CauseWaiting}},
	}
}

// runCommand runs a command against a test server that answers every request with the
// document, or with status 404 if it is nil. It returns the exit status, the standard
// output and the standard error.
func runCommand(t *testing.T, command func(*console) subcommands.Command, document any, args ...string) (subcommands.ExitStatus, string, string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if document == nil {
			http.Error(w, "no record", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(document)
	}))
	defer server.Close()
	var out, errs bytes.Buffer
	cmd := command(&console{out: &out, err: &errs, env: func(string) string { return "" }})
	fs := flag.NewFlagSet(cmd.Name(), flag.ContinueOnError)
	cmd.SetFlags(fs)
	// Nothing listens at the first address, so the command must try the second.
	args = append([]string{"-admin", "127.0.0.1:1," + strings.TrimPrefix(server.URL, "http://")}, args...)
	NewWithT(t).Expect(fs.Parse(args)).To(Succeed())
	status := cmd.Execute(context.Background(), fs)
	return status, out.String(), errs.String()
}

func newStatus(c *console) subcommands.Command {
	return &statusCommand{adminFlags: adminFlags{console: c}}
}
func newExplain(c *console) subcommands.Command {
	return &explainCommand{adminFlags: adminFlags{console: c}}
}
func newReport(c *console) subcommands.Command {
	return &reportCommand{adminFlags: adminFlags{console: c}}
}

func TestOperatorsOutput(t *testing.T) {
	explanation := router.Explanation{
		Request: "r1.a-3", Summary: []string{"A slot was free: it waited 0.2 ms."},
		Record: router.Record{Arrived: noon, Lines: []router.RecordLine{{At: noon.Add(30 * time.Millisecond), What: "ended", Detail: "complete"}}},
	}
	rows := []struct {
		name     string
		command  func(*console) subcommands.Command
		document any
		args     []string
		want     []string
	}{
		{"status as text", newStatus, fleetStatus(), nil, []string{
			"router r1.a in ga-east/a: ready, up 1m0s", "generation 7, digest sha256:12",
			"not reached: r2.b: router r2.b did not answer", "earlier incarnation, now r2.b", "older configuration",
			"250ms ago", "25%", "slow", "leaving", "fiddlers", "420ms",
		}},
		{"status as JSON", newStatus, fleetStatus(), []string{"-o", "json"}, []string{`"replaced_by": "r2.b"`}},
		{"explanation", newExplain, explanation, []string{"r1.a-3"}, []string{"A slot was free", "30.0ms", "complete"}},
		{"report as text", newReport, burnReport(), nil, []string{
			"figures of 1 routers, 1 missing", "missing: r2.b: did not answer", "dropped 4 accounts", "BURN-5M",
			"1.50 (3/40)", "-50%", "waiting",
		}},
		{"report as a page", newReport, burnReport(), []string{"-o", "html"}, []string{
			"<!DOCTYPE html>", "&lt;assistant&gt;", "<svg", "1.50 (3/40)", `class="n spent"`, "r2.b: did not answer", "dropped 4 accounts",
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errs := runCommand(t, row.command, row.document, row.args...)
			g.Expect(code).To(Equal(subcommands.ExitSuccess), errs)
			for _, want := range row.want {
				g.Expect(out).To(ContainSubstring(want))
			}
			g.Expect(out).NotTo(ContainSubstring("http"), "the output must not refer to other resources")
		})
	}
}

func TestOperatorsFailures(t *testing.T) {
	rows := []struct {
		name    string
		command func(*console) subcommands.Command
		args    []string
		code    subcommands.ExitStatus
		want    string
	}{
		{"an error answer of the router is printed", newExplain, []string{"r1.a-3"}, exitFailure, "no record"},
		{"no request id", newExplain, nil, exitUsage, "explain takes 1 arguments, not 0"},
		{"a format that status does not have", newStatus, []string{"-o", "html"}, exitUsage, "none of text, json"},
		{"an argument too many", newReport, []string{"now"}, exitUsage, "report takes 0 arguments, not 1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			code, out, errs := runCommand(t, row.command, nil, row.args...)
			g.Expect(code).To(Equal(row.code))
			g.Expect(errs).To(ContainSubstring(row.want))
			g.Expect(out).To(BeEmpty())
		})
	}
}

// TestSubmitReadsTheStatus checks that submit can read the status document that the
// router serves.
func TestSubmitReadsTheStatus(t *testing.T) {
	g := NewWithT(t)
	data, err := json.Marshal(fleetStatus())
	g.Expect(err).NotTo(HaveOccurred())
	var read adminStatus
	g.Expect(json.Unmarshal(data, &read)).To(Succeed())
	g.Expect(propagationOf(read, 7).String()).To(Equal("generation 7 is in force at 1 of 2 routers, not yet at r2.b"))
}
