package cli

import (
	"fmt"
	"html/template"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/burn"
)

// The dimensions of a plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 150
	plotLeft   = 50
	plotBottom = 22
	plotTop    = 8
	plotBase   = plotHeight - plotBottom
)

// minPlotMinutes is the shortest time span of a plot, in minutes.
const minPlotMinutes = 30

// minRateAxis is the lowest maximum of the burn rate axis, so that the line at a rate
// of 1 is always inside the plot.
const minRateAxis = 2

// signalColours are the line colours of the burn rates.
var signalColours = map[burn.Signal]string{
	burn.FirstToken: "#1f5fa8", burn.TokenGap: "#b06a00", burn.Answer: "#1f7a4d", burn.Answered: "#7a2f9b",
}

const (
	requestColour = "#b8bec6"
	missColour    = "#c2273d"
)

// plot builds an inline SVG drawing. Its text is inserted into the page unescaped, so
// it may contain only numbers and constant names, never names from a configuration.
type plot struct {
	strings.Builder
	// first is the first minute shown, span the number of minutes shown.
	first, span int64
	// maxValue is the maximum of the value axis; larger values are clipped to it.
	maxValue float64
}

// newPlot starts a plot from the first of the minutes, which must not be empty, to the
// time taken. The span is at least minPlotMinutes.
func newPlot(label string, minutes []burn.Minute, taken time.Time, maxValue float64) *plot {
	last := taken.Unix() / 60
	p := &plot{span: max(minPlotMinutes, last-minutes[0].At+1), maxValue: maxValue}
	p.first = last - p.span + 1
	fmt.Fprintf(p, `<svg role="img" aria-label="%s" width="%d" height="%d" viewBox="0 0 %d %d">`,
		label, plotWidth, plotHeight, plotWidth, plotHeight)
	return p
}

// minuteWidth returns the width of a minute.
func (p *plot) minuteWidth() float64 { return float64(plotWidth-plotLeft) / float64(p.span) }

// x returns the horizontal position of the start of a minute.
func (p *plot) x(minute int64) float64 { return plotLeft + float64(minute-p.first)*p.minuteWidth() }

// y returns the vertical position of a value.
func (p *plot) y(value float64) float64 {
	return plotBase - min(value, p.maxValue)/p.maxValue*(plotBase-plotTop)
}

// finish draws the axes with labels at their ends and returns the SVG element.
func (p *plot) finish() template.HTML {
	clock := func(minute int64) string { return time.Unix(minute*60, 0).UTC().Format("15:04") }
	fmt.Fprintf(p, `<path d="M%d %dV%dH%d" fill="none" stroke="#888"/>`, plotLeft, plotTop, plotBase, plotWidth)
	fmt.Fprintf(p, `<text x="%d" y="%d" text-anchor="end">%.3g</text>`, plotLeft-5, plotTop+9, p.maxValue)
	fmt.Fprintf(p, `<text x="%d" y="%d" text-anchor="end">0</text>`, plotLeft-5, plotBase)
	fmt.Fprintf(p, `<text x="%d" y="%d">%s</text>`, plotLeft, plotHeight-6, clock(p.first))
	fmt.Fprintf(p, `<text x="%d" y="%d" text-anchor="end">%s UTC</text>`, plotWidth, plotHeight-6, clock(p.first+p.span-1))
	p.WriteString("</svg>")
	return template.HTML(p.String())
}

// plotMinutes draws the requests and the misses of each minute as bars.
func plotMinutes(s burn.ServiceReport, taken time.Time) template.HTML {
	maxCount := uint32(1)
	for i := range s.Minutes {
		maxCount = max(maxCount, requestCount(&s.Minutes[i]), s.Minutes[i].Bad())
	}
	p := newPlot("requests and misses a minute", s.Minutes, taken, float64(maxCount))
	for i := range s.Minutes {
		m := &s.Minutes[i]
		p.drawBar(m.At, requestCount(m), requestColour)
		p.drawBar(m.At, m.Bad(), missColour)
	}
	return p.finish()
}

// requestCount returns the number of requests that ended in a minute, without those
// that failed by the caller's fault.
func requestCount(m *burn.Minute) uint32 { return m.Counts[burn.Answered].Total }

// drawBar draws the bar of a minute.
func (p *plot) drawBar(minute int64, value uint32, fill string) {
	if value == 0 {
		return
	}
	top := p.y(float64(value))
	fmt.Fprintf(p, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`,
		p.x(minute), top, max(p.minuteWidth()-0.5, 0.5), plotBase-top, fill)
}

// plotRates draws the burn rate of each objective over time, and a line at the rate
// of 1, at which the budget is used up exactly at the end of its window.
func plotRates(s burn.ServiceReport, taken time.Time) template.HTML {
	maxRate := float64(minRateAxis)
	rates := make(map[burn.Signal][]burn.RatePoint)
	for _, signal := range burn.Signals() {
		rates[signal] = s.Rates(signal, taken)
		for _, point := range rates[signal] {
			maxRate = max(maxRate, point.Rate)
		}
	}
	p := newPlot("burn rates over 5 minutes", s.Minutes, taken, maxRate)
	fmt.Fprintf(p, `<path d="M%d %.1fH%d" stroke="#a3182a" stroke-dasharray="4 3"/>`, plotLeft, p.y(1), plotWidth)
	legend := plotLeft + 10
	for _, signal := range burn.Signals() {
		if len(rates[signal]) == 0 {
			continue
		}
		p.drawSteps(rates[signal], signalColours[signal])
		fmt.Fprintf(p, `<text x="%d" y="%d" style="fill:%s">%s</text>`, legend, plotTop+9, signalColours[signal], signal)
		legend += 100
	}
	return p.finish()
}

// drawSteps draws burn rates as a step line with a step for each minute.
func (p *plot) drawSteps(points []burn.RatePoint, stroke string) {
	fmt.Fprintf(p, `<polyline fill="none" stroke="%s" stroke-width="2" points="`, stroke)
	for _, point := range points {
		x, y := p.x(point.At), p.y(point.Rate)
		fmt.Fprintf(p, "%.1f,%.1f %.1f,%.1f ", x, y, x+p.minuteWidth(), y)
	}
	p.WriteString(`"/>`)
}
