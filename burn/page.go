package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed page.html
var pageText string

const (
	plotWidth  = 340 * vg.Length(1)
	plotHeight = 200 * vg.Length(1)
	// maxPlottedRate limits the height of the bars. Without a limit, one very high rate would make
	// the other bars too small to read.
	maxPlottedRate = 20
)

type page struct {
	*Evaluation
	Covered string
	Cards   []card
}

// card is one objective on the page.
type card struct {
	Line
	LeftText string
	Rows     []cell
	Plot     template.HTML
}

type cell struct{ Name, Value string }

// WriteHTML writes the evaluation as one HTML page that loads nothing else.
func (e *Evaluation) WriteHTML(w io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = ErrMalformed.Wrap(err, "write page")
		}
	}()
	p := page{Evaluation: e, Covered: durationText(e.CoveredMillis)}
	for _, l := range e.Lines {
		c, err := cardOf(l)
		if err != nil {
			return err
		}
		p.Cards = append(p.Cards, c)
	}
	t, err := template.New("page").Parse(pageText)
	if err != nil {
		return err
	}
	return t.Execute(w, p)
}

func durationText(millis int64) string {
	const minute = 60_000
	switch {
	case millis < minute:
		return fmt.Sprintf("%d s", millis/1000)
	case millis < 60*minute:
		return fmt.Sprintf("%d min", millis/minute)
	}
	return fmt.Sprintf("%d h", millis/60/minute)
}

func cardOf(l Line) (c card, err error) {
	c = card{Line: l, LeftText: l.budgetText()}
	for _, w := range Windows() {
		text := "–"
		if r, ok := l.Rates[w.Name]; ok {
			text = fmt.Sprintf("%.2f", r)
		}
		c.Rows = append(c.Rows, cell{w.Name, text})
	}
	c.Plot, err = plotOf(l)
	return c, err
}

// plotOf draws the burn rate by window, with a dashed line at the rate that spends the budget
// exactly.
func plotOf(l Line) (svg template.HTML, err error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	yMax := 2.0
	for _, w := range Windows() {
		values = append(values, min(l.Rates[w.Name], maxPlottedRate))
		names = append(names, w.Name)
		yMax = max(yMax, min(l.Rates[w.Name], maxPlottedRate))
	}
	p.Y.Max = yMax
	bars, err := plotter.NewBarChart(values, vg.Points(36))
	if err != nil {
		return "", err
	}
	bars.Color = colorOf(l)
	bars.LineStyle.Width = 0
	exactRate, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: 1}, {X: float64(len(names)) - 0.5, Y: 1}})
	if err != nil {
		return "", err
	}
	exactRate.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(bars, exactRate)
	p.NominalX(names...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err = canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // the plot's labels are window names only
}

func colorOf(l Line) color.Color {
	switch l.Alert {
	case Page:
		return color.RGBA{R: 0xb3, G: 0x26, B: 0x1e, A: 0xff}
	case Ticket:
		return color.RGBA{R: 0xc7, G: 0x7c, B: 0x02, A: 0xff}
	}
	return color.RGBA{R: 0x2f, G: 0x6f, B: 0x4f, A: 0xff}
}
