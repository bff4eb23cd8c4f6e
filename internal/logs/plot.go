package logs

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// plotLines is the maximum number of lines; the most frequent names are drawn.
	plotLines = 8
)

// WriteSVG writes a plot of the requests over time, with a line for each name.
func (o Outcomes) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "requests by outcome"
	p.X.Label.Text = "seconds since " + o.Start.Format("15:04:05")
	p.Y.Label.Text = fmt.Sprintf("requests that arrived within %v", o.Step)
	p.Legend.Top = true
	for i, name := range o.Names[:min(len(o.Names), plotLines)] {
		points := make(plotter.XYs, len(o.Counts[name]))
		for j, n := range o.Counts[name] {
			points[j].X = float64(j) * o.Step.Seconds()
			points[j].Y = float64(n)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw %s: %w", name, err)
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	drawn, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	_, err = drawn.WriteTo(w)
	return err
}
