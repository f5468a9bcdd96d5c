package experiment

import (
	"fmt"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plotAll writes a plot of the program latencies for each load.
func plotAll(dir string, file File, samples []Sample) error {
	for _, load := range file.Loads {
		if err := plotLatency(dir, file, samples, load); err != nil {
			return err
		}
	}
	return nil
}

func plotLatency(dir string, file File, samples []Sample, load float64) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("%s, load %.2f", file.Name, load)
	chart.X.Label.Text = "program latency (s)"
	chart.Y.Label.Text = "share of programs"
	chart.Legend.Top, chart.Legend.Left = false, false
	for index, policy := range file.Policies {
		// The upper limit is an hour in microseconds, as in runner.Result.
		merged := hdrhistogram.New(1, 3_600_000_000, 3)
		for _, sample := range samples {
			if sample.Policy == policy.Name && sample.Load == load {
				merged.Merge(sample.Result.ProgramLatency)
			}
		}
		line, err := plotter.NewLine(distribution(merged))
		if err != nil {
			return errors.Wrap(err, "drawing a line")
		}
		line.Color = plotutil.Color(index)
		line.Dashes = plotutil.Dashes(index)
		chart.Add(line)
		chart.Legend.Add(policy.Name, line)
	}
	name := filepath.Join(dir, fmt.Sprintf("latency-%.0f.png", load*100))
	return errors.Wrap(chart.Save(plotWidth, plotHeight, name), "saving a plot")
}

// distribution returns the cumulative distribution of a histogram of microseconds, in seconds.
func distribution(histogram *hdrhistogram.Histogram) plotter.XYs {
	points := make(plotter.XYs, 0, 100)
	for percent := 1; percent <= 99; percent++ {
		points = append(points, plotter.XY{X: float64(histogram.ValueAtQuantile(float64(percent))) / 1e6, Y: float64(percent) / 100})
	}
	return points
}
