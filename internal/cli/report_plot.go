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
)

// plotSpanMin is the shortest time that a plot shows, in minutes.
const plotSpanMin = 30

// plotMinutes draws requests and misses a minute as bars in inline SVG.
func plotMinutes(minutes []burn.Minute, taken time.Time) template.HTML {
	last := taken.Unix() / 60
	span := max(plotSpanMin, last-minutes[0].At+1)
	most := uint32(1)
	for i := range minutes {
		most = max(most, requests(&minutes[i]), minutes[i].Bad())
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg role="img" aria-label="requests and misses a minute" width="%d" height="%d" viewBox="0 0 %d %d">`,
		plotWidth, plotHeight, plotWidth, plotHeight)
	width := float64(plotWidth-plotLeft) / float64(span)
	for i := range minutes {
		m := &minutes[i]
		x := plotLeft + float64(m.At-(last-span+1))*width
		bar(&b, x, width, requests(m), most, "#b8bec6")
		bar(&b, x, width, m.Bad(), most, "#c2273d")
	}
	axes(&b, last, span, most)
	b.WriteString("</svg>")
	// Everything in it is a number.
	return template.HTML(b.String())
}

// requests is the number of requests that ended in a minute.
func requests(m *burn.Minute) uint32 { return m.Counts[burn.Answered].Total }

func bar(b *strings.Builder, x, width float64, value, most uint32, fill string) {
	if value == 0 {
		return
	}
	height := float64(value) / float64(most) * (plotHeight - plotBottom - plotTop)
	fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`,
		x, plotHeight-plotBottom-height, max(width-0.5, 0.5), height, fill)
}

// axes draws the lines and names their ends.
func axes(b *strings.Builder, last, span int64, most uint32) {
	base := plotHeight - plotBottom
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="#888"/>`, plotLeft, plotTop, base, plotWidth)
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%d</text>`, plotLeft-5, plotTop+9, most)
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">0</text>`, plotLeft-5, base)
	clock := func(minute int64) string { return time.Unix(minute*60, 0).UTC().Format("15:04") }
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`, plotLeft, plotHeight-6, clock(last-span+1))
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%s UTC</text>`, plotWidth, plotHeight-6, clock(last))
}
