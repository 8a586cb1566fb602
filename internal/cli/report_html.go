package cli

import (
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/jujubeford/jujubeford/internal/burn"
)

// reportPage is the data of the HTML template.
type reportPage struct {
	*burn.Report
	Merged  int
	Missing []burn.RouterPart
	Losses  []string
}

// printReportPage prints the report as one self-contained HTML page.
func printReportPage(out io.Writer, r *burn.Report) error {
	merged, missing := coverage(r)
	return pageTemplate.Execute(out, reportPage{Report: r, Merged: merged, Missing: missing, Losses: droppedData(r)})
}

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"window": windowText,
	"ms":     msText,
	"bound":  boundText,
	"burn":   burnText,
	"part":   func(f float64) string { return fmt.Sprintf("%.4g%%", 100*f) },
	"budget": func(f float64) string { return fmt.Sprintf("%.0f%%", 100*f) },
	"class":  budgetClass,
	"utc":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04 UTC") },
	"plot":   plotMinutes,
	"rates":  plotRates,
	"rows":   func(list []burn.OrganisationReport) []burn.OrganisationReport { return list[:min(len(list), maxRows)] },
}).Parse(pageText))

// The parts of the error budget left at which a cell changes its colour.
const (
	budgetLow   = 0.5
	budgetSpent = 0.0
)

// budgetClass returns the CSS class for a part of the error budget that is left.
func budgetClass(left float64) string {
	switch {
	case left <= budgetSpent:
		return "spent"
	case left < budgetLow:
		return "low"
	default:
		return "good"
	}
}

const pageText = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font: 14px/1.45 sans-serif; margin: 2em auto; max-width: 64em; padding: 0 1em; color: #1c1c1c; background: #fff; }
h1 { font-size: 1.5em; margin-bottom: 0; }
h2 { font-size: 1.15em; margin-top: 2em; border-bottom: 1px solid #ccc; }
table { border-collapse: collapse; margin: .6em 0; }
th, td { text-align: left; padding: .25em .9em .25em 0; border-bottom: 1px solid #eee; white-space: nowrap; }
td.n, th.n { text-align: right; }
.good { color: #14663a; } .low { color: #8a5a00; } .spent { color: #a3182a; font-weight: bold; }
.missing { background: #fff3f0; border-left: 4px solid #a3182a; padding: .5em 1em; }
figure { margin: .8em 0; } figcaption { color: #555; font-size: .9em; }
svg text { font: 11px sans-serif; fill: #555; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{utc .Taken}}. Figures of {{.Merged}} routers, {{len .Missing}} missing. A burn of 1 spends the error budget in just the window.</p>
{{if .Missing}}<div class="missing">Not in this report:<ul>{{range .Missing}}<li>{{.Router}}: {{.Error}}</li>{{end}}</ul></div>{{end}}
{{range .Losses}}<p>{{.}}.</p>{{end}}
{{$windows := .Windows}}
{{range .Services}}
<h2>Service {{.Name}}</h2>
{{if .Objectives}}<table>
<tr><th>Objective</th><th class="n">Bound</th><th class="n">Target</th>{{range $windows}}<th class="n">Burn {{window .}}</th>{{end}}<th class="n">Budget left</th></tr>
{{range .Objectives}}<tr><td>{{.Signal}}</td><td class="n">{{bound .BoundMS}}</td><td class="n">{{part .Target}}</td>{{range .Windows}}<td class="n">{{burn .}}</td>{{end}}<td class="n {{class .BudgetLeft}}">{{budget .BudgetLeft}}</td></tr>
{{end}}</table>{{else}}<p>No objectives are configured.</p>{{end}}
{{if .Minutes}}{{if .Objectives}}<figure>{{rates . $.Taken}}<figcaption>Burn rate of each objective over the last 5 minutes; above the dashed line at 1 the budget does not last.</figcaption></figure>{{end}}
<figure>{{plot . $.Taken}}<figcaption>Requests that ended in each minute (grey), and objectives missed (red).</figcaption></figure>{{end}}
{{if .Latencies}}<table>
<tr><th>Last hour</th><th class="n">Count</th><th class="n">p50</th><th class="n">p95</th><th class="n">p99</th><th class="n">Max</th></tr>
{{range .Latencies}}<tr><td>{{.Kind}}</td><td class="n">{{.Count}}</td><td class="n">{{ms .P50}}</td><td class="n">{{ms .P95}}</td><td class="n">{{ms .P99}}</td><td class="n">{{ms .Max}}</td></tr>
{{end}}</table>{{end}}
{{end}}
{{if .Organisations}}
<h2>Organisations, the least budget left first</h2>
<table>
<tr><th>Service</th><th>Organisation</th><th>Objective</th>{{range $windows}}<th class="n">Burn {{window .}}</th>{{end}}<th class="n">Budget left</th></tr>
{{range rows .Organisations}}{{$org := .}}{{range .Objectives}}<tr><td>{{$org.Service}}</td><td>{{$org.Organisation}}</td><td>{{.Signal}}</td>{{range .Windows}}<td class="n">{{burn .}}</td>{{end}}<td class="n {{class .BudgetLeft}}">{{budget .BudgetLeft}}</td></tr>
{{end}}{{end}}</table>
{{if .Omitted}}<p>{{.Omitted}} organisations with more budget left are not in the report.</p>{{end}}
{{end}}
<h2>Worst minutes</h2>
{{if .Worst}}<table>
<tr><th>Minute</th><th>Service</th><th>Organisation</th><th class="n">Misses</th><th>Cause</th></tr>
{{range .Worst}}<tr><td>{{utc .Start}}</td><td>{{.Service}}</td><td>{{.Organisation}}</td><td class="n">{{.Bad}}</td><td>{{.Cause}}</td></tr>
{{end}}</table>{{else}}<p>No request missed its objectives.</p>{{end}}
</body>
</html>
`
