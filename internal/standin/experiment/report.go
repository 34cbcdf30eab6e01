package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/standin/model"
)

// The size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Text returns the report as a table.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Seeds %d to %d: means over the seeds, and the range of Worth. Worth, Credit, Worst and Served are fractions of 1.\n\n",
		r.FirstSeed, r.FirstSeed+uint64(r.Seeds)-1)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "Pattern\tPolicy\tWorth\tRange\tCredit\tWorst\tServed\tP50\tP99\tAttempts\tQuestions\tCrossings\tQuestionCrossings")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f-%.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%.2f\t%.1f\t%.2f\t%.1f\n",
			row.Pattern, row.Policy, row.Worth, row.WorthLow, row.WorthHigh, row.Credit, row.Worst, row.Served,
			row.P50.Round(time.Millisecond), row.P99.Round(time.Millisecond), row.Attempts, row.Questions,
			row.Crossings, row.QuestionCrossings)
	}
	_ = w.Flush() // a strings.Builder returns no error
	return b.String()
}

// Plot writes an SVG image of the value share over time in a pattern, with a line for
// each policy.
func (r Report) Plot(w io.Writer, pattern string) error {
	p := plot.New()
	p.Title.Text = pattern
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "value share"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	var lines []any
	for _, row := range r.Rows {
		if row.Pattern == pattern {
			lines = append(lines, row.Policy, windowPoints(row.Windows))
		}
	}
	if len(lines) == 0 {
		return code.Errorf(code.SettingsBadValue, "plot pattern %q: the report has no such pattern", pattern)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return code.Wrapf(code.Internal, err, "plot pattern %q", pattern)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return err
}

// windowPoints returns a point for the middle of each window, with its value share.
func windowPoints(windows []float64) plotter.XYs {
	xys := make(plotter.XYs, len(windows))
	for i, share := range windows {
		xys[i].X = (float64(i) + 0.5) * model.WindowLength.Seconds()
		xys[i].Y = share
	}
	return xys
}
