// Package chart plots the curves of a run.
package chart

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
)

// Size of a plot.
const (
	width  = 24 * vg.Centimeter
	height = 14 * vg.Centimeter
)

// formats lists the file formats that each plot is written in.
var formats = []string{"svg", "png"}

// Draw writes the plots of a run, one of the service and one of the demand, to files
// whose paths start with prefix, and returns the paths.
func Draw(prefix, title string, c *measure.Curves) ([]string, error) {
	service, err := servicePlot(title, c)
	if err != nil {
		return nil, err
	}
	demand, err := demandPlot(title, c)
	if err != nil {
		return nil, err
	}
	serviceNames, err := save(service, prefix+"-service")
	if err != nil {
		return nil, err
	}
	demandNames, err := save(demand, prefix+"-demand")
	return append(serviceNames, demandNames...), err
}

// save writes a plot in each of the formats and returns the paths of the files.
func save(p *plot.Plot, name string) ([]string, error) {
	var names []string
	for _, format := range formats {
		path := fmt.Sprintf("%s.%s", name, format)
		if err := p.Save(width, height, path); err != nil {
			return names, errors.Wrap(err, "save plot")
		}
		names = append(names, path)
	}
	return names, nil
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

func servicePlot(title string, c *measure.Curves) (*plot.Plot, error) {
	p := newPlot(title+": service received", "tokens per unit of share")
	for i, values := range c.Service {
		if err := addLine(p, c, i, c.Organisations[i], values); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func demandPlot(title string, c *measure.Curves) (*plot.Plot, error) {
	p := newPlot(title+": demand and service", "tokens a second")
	lines := []struct {
		name   string
		values []float64
	}{
		{"demand", c.Demand},
		{"served", c.Served},
		{"ideal", c.Ideal},
	}
	for i, line := range lines {
		if err := addLine(p, c, i, line.name, movingAverage(line.values)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// maxLegend is the number of lines that get an entry in the legend.
const maxLegend = 16

func addLine(p *plot.Plot, c *measure.Curves, i int, name string, values []float64) error {
	step := time.Duration(c.StepMillis) * time.Millisecond
	points := make(plotter.XYs, len(values))
	for k, v := range values {
		points[k].X = float64(k) * step.Seconds()
		points[k].Y = v
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "plot line %s", name)
	}
	line.Color = plotutil.Color(i)
	line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
	p.Add(line)
	if i < maxLegend {
		p.Legend.Add(name, line)
	}
	return nil
}

// smoothingWindows is the number of windows over which rates are averaged in the plot
// of the demand.
const smoothingWindows = 5

// movingAverage returns the mean of each value and of up to smoothingWindows-1 values
// before it.
func movingAverage(values []float64) []float64 {
	out := make([]float64, len(values))
	for i := range values {
		begin := max(0, i-smoothingWindows+1)
		sum := 0.0
		for _, v := range values[begin : i+1] {
			sum += v
		}
		out[i] = sum / float64(i+1-begin)
	}
	return out
}
