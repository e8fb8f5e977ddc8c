package comparison

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidenceLevel is the probability with which a confidence interval contains the mean difference.
const confidenceLevel = 0.95

// writeTable writes, for each site, the mean figure of each set, and for each set but the first the
// mean difference from the first set on the same days, with its confidence interval. A day without
// a figure of some set is left out for all sets.
func writeTable(w io.Writer, p *Plan, figures map[cell]float64) (err error) {
	fmt.Fprint(w, "| site | days |")
	for i, s := range p.Sets {
		fmt.Fprintf(w, " %s |", s.Name)
		if i > 0 {
			fmt.Fprintf(w, " less %s |", p.Sets[0].Name)
		}
	}
	_, err = fmt.Fprintln(w, "\n|---|---|"+strings.Repeat("---|", 2*len(p.Sets)-1))
	for _, site := range p.sites() {
		writeSite(w, site, p.columns(site, figures))
	}
	return err
}

// sites returns the sites in the order of the plan.
func (p *Plan) sites() (all []string) {
	for _, siteDays := range p.Sites {
		if !slices.Contains(all, siteDays.Site) {
			all = append(all, siteDays.Site)
		}
	}
	return all
}

// columns returns the figures of a site for each set, on the days for which all sets have a figure.
func (p *Plan) columns(site string, figures map[cell]float64) (all [][]float64) {
	all = make([][]float64, len(p.Sets))
	for _, d := range p.days() {
		var row []float64
		for i := range p.Sets {
			if f, ok := figures[cell{d, i}]; ok && d.site == site {
				row = append(row, f)
			}
		}
		if len(row) < len(p.Sets) {
			continue
		}
		for i, f := range row {
			all[i] = append(all[i], f)
		}
	}
	return all
}

func writeSite(w io.Writer, site string, columns [][]float64) {
	fmt.Fprintf(w, "| %s | %d |", strings.TrimSuffix(filepath.Base(site), filepath.Ext(site)), len(columns[0]))
	for i, c := range columns {
		if len(c) == 0 {
			fmt.Fprint(w, " not played |")
			continue
		}
		fmt.Fprintf(w, " %.4f |", stat.Mean(c, nil))
		if i > 0 {
			mean, half := difference(columns[0], c)
			fmt.Fprintf(w, " %+.4f ± %.4f |", mean, half)
		}
	}
	fmt.Fprintln(w)
}

// difference returns the mean of the paired differences and half the width of the confidence
// interval of that mean, which is NaN for a single pair.
func difference(baseline, values []float64) (mean, half float64) {
	diffs := make([]float64, len(baseline))
	for i := range baseline {
		diffs[i] = values[i] - baseline[i]
	}
	mean, spread := stat.MeanStdDev(diffs, nil)
	n := float64(len(diffs))
	if n < 2 {
		return mean, math.NaN()
	}
	t := distuv.StudentsT{Sigma: 1, Nu: n - 1}
	return mean, t.Quantile((1+confidenceLevel)/2) * spread / math.Sqrt(n)
}
