package cli

import (
	"fmt"
	"html/template"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/internal/burn"
)

// The plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 150
	plotLeft   = 50
	plotBottom = 22
	plotTop    = 8
	plotBase   = plotHeight - plotBottom
)

// minPlotMinutes is the shortest time that a plot shows, in minutes.
const minPlotMinutes = 30

// minRateAxis is the least upper end of the axis of burn rates, so that the line
// at 1 always shows.
const minRateAxis = 2

// The colours of the signals, of requests and of misses.
var signalColours = map[burn.Signal]string{
	burn.FirstToken: "#1f5fa8", burn.TokenGap: "#b06a00", burn.Answer: "#1f7a4d", burn.Answered: "#7a2f9b",
}

const (
	requestColour = "#b8bec6"
	missColour    = "#c2273d"
)

// plot is a drawing in inline SVG; everything in it is a number or a name from
// this program.
type plot struct {
	strings.Builder
	// first is the first minute shown, span their number.
	first, span int64
	// maxValue is the upper end of the axis of values.
	maxValue float64
}

// newPlot begins a plot of the minutes up to a time.
func newPlot(label string, minutes []burn.Minute, taken time.Time, maxValue float64) *plot {
	last := taken.Unix() / 60
	p := &plot{span: max(minPlotMinutes, last-minutes[0].At+1), maxValue: maxValue}
	p.first = last - p.span + 1
	fmt.Fprintf(p, `<svg role="img" aria-label="%s" width="%d" height="%d" viewBox="0 0 %d %d">`,
		label, plotWidth, plotHeight, plotWidth, plotHeight)
	return p
}

// minuteWidth is that of a minute.
func (p *plot) minuteWidth() float64 { return float64(plotWidth-plotLeft) / float64(p.span) }

// x is the left end of a minute, y the height of a value.
func (p *plot) x(minute int64) float64 { return plotLeft + float64(minute-p.first)*p.minuteWidth() }

func (p *plot) y(value float64) float64 {
	return plotBase - min(value, p.maxValue)/p.maxValue*(plotBase-plotTop)
}

// finish draws the axes and names their ends.
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

// plotMinutes draws requests and misses a minute as bars.
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

// requestCount is the number of requests that ended in a minute.
func requestCount(m *burn.Minute) uint32 { return m.Counts[burn.Answered].Total }

func (p *plot) drawBar(minute int64, value uint32, fill string) {
	if value == 0 {
		return
	}
	top := p.y(float64(value))
	fmt.Fprintf(p, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`,
		p.x(minute), top, max(p.minuteWidth()-0.5, 0.5), plotBase-top, fill)
}

// plotRates draws the burn rate of each objective over time, and the rate of 1
// at which a budget lasts just as long as its window.
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

// drawSteps draws a rate as steps, a minute each.
func (p *plot) drawSteps(points []burn.RatePoint, stroke string) {
	fmt.Fprintf(p, `<polyline fill="none" stroke="%s" stroke-width="2" points="`, stroke)
	for _, point := range points {
		x, y := p.x(point.At), p.y(point.Rate)
		fmt.Fprintf(p, "%.1f,%.1f %.1f,%.1f ", x, y, x+p.minuteWidth(), y)
	}
	p.WriteString(`"/>`)
}
