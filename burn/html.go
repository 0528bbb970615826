package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// maxPlottedQueues is the maximum number of queues in the plot of burn rates.
const maxPlottedQueues = 6

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"span":    func(i int) string { return formatMinutes(windows[i].span) },
	"clock":   formatTime,
	"seconds": formatSeconds,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 15px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: .2em .7em; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
.page { background: #f4b6b6; } .ticket { background: #f8dba8; } .watch { background: #f6f3b0; }
.customer td:first-child { padding-left: 2em; }
</style></head><body>
<h1>Service-level burn</h1>
<p>{{clock .Report.Time}}, {{.Report.Entries}} entries. A rate of 1 spends the budget in exactly 72 hours.</p>
{{.Left}}
{{.Rates}}
<table><tr><th>queue</th><th>objective</th><th>alert</th><th>left</th><th>lasts</th>
<th>5m</th><th>30m</th><th>1h</th><th>6h</th><th>24h</th><th>72h</th>
<th>good</th><th>late</th><th>refused</th><th>unknown</th></tr>
{{range .Report.Queues}}{{$o := .Objective}}<tr class="{{.Alert}}"><td>{{.Name}}</td><td>{{$o}}</td>{{template "row" .Row}}</tr>
{{range .Customers}}<tr class="customer {{.Alert}}"><td>{{.Name}}</td><td></td>{{template "row" .Row}}</tr>
{{end}}{{end}}</table>
<h2>Buffer cost</h2>
<table><tr><th>pool</th><th>host-seconds idle beyond need</th></tr>
{{range $pool, $v := .Report.Measures.Buffer}}<tr><td>{{$pool}}</td><td>{{printf "%.0f" $v}}</td></tr>
{{end}}</table>
<h2>Moves</h2>
<p>{{.Report.Measures.Hosts}} hosts, {{.Report.Measures.Jobs}} jobs</p>
<h2>Roll-out</h2>
<table><tr><th>revision</th><th>accepted</th><th>in force after</th><th>full effect after</th></tr>
{{range .Rollouts}}<tr><td>{{.Rev}}</td><td>{{clock .Accepted}}</td><td>{{seconds .Force}}</td><td>{{seconds .Effect}}</td></tr>
{{end}}</table>
</body></html>
{{define "row"}}<td>{{.Alert}}</td><td>{{.LeftText}}</td><td>{{.LastsText}}</td>{{range .Windows}}<td>{{printf "%.2f" .Rate}}</td>{{end}}<td>{{.Good}}</td><td>{{.Late}}</td><td>{{.Refused}}</td><td>{{.Unknown}}</td>{{end}}`))

// rolloutRow is a row of the table of roll-outs. Force and Effect are the delays from
// acceptance; 0 means not known.
type rolloutRow struct {
	Rev           int64
	Accepted      time.Time
	Force, Effect time.Duration
}

// WriteHTML writes the report as one HTML page with the plots inline as SVG.
func WriteHTML(w io.Writer, r Report) error {
	left, err := plotBudgetLeft(r.Queues)
	if err != nil {
		return fmt.Errorf("plot budget left: %w", err)
	}
	rates, err := plotBurnRates(r.Queues)
	if err != nil {
		return fmt.Errorf("plot burn rates: %w", err)
	}
	rows := make([]rolloutRow, 0, len(r.Measures.Rollouts))
	for _, rollout := range r.Measures.Rollouts {
		force, effect := rollout.Delays()
		rows = append(rows, rolloutRow{rollout.Rev, rollout.Accepted, force, effect})
	}
	return pageTemplate.Execute(w, struct {
		Report      Report
		Left, Rates template.HTML
		Rollouts    []rolloutRow
	}{r, left, rates, rows})
}

// plotBudgetLeft draws a bar per queue for the share of its error budget that is left. It
// returns "" if there are no queues.
func plotBudgetLeft(queues []Queue) (template.HTML, error) {
	if len(queues) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "Error budget left"
	p.Y.Label.Text = "%"
	values, names := make(plotter.Values, len(queues)), make([]string, len(queues))
	for i := range queues {
		// The bar of a badly missed objective would hide the others; it ends at -100%.
		values[i], names[i] = 100*max(queues[i].Left, -1), queues[i].Name
	}
	bars, err := plotter.NewBarChart(values, font.Length(14))
	if err != nil {
		return "", err
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Max = 100
	return renderSVG(p, font.Length(max(300, 80*len(queues))))
}

// plotBurnRates draws the history of the burn rates of the queues with the least budget
// left. It returns "" if no queue has two points.
func plotBurnRates(queues []Queue) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Burn rate, half-hour buckets"
	p.X.Tick.Marker = plot.TimeTicks{Format: "Jan 2 15:04"}
	lines := 0
	for _, q := range leastBudgetLeft(queues) {
		xys := make(plotter.XYs, 0, len(q.Points))
		for _, pt := range q.Points {
			rate := float64(pt.Bad) / float64(max(pt.Good+pt.Bad, 1)) / (1 - q.Objective)
			xys = append(xys, plotter.XY{X: float64(pt.Time.Unix()), Y: rate})
		}
		if len(xys) < 2 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(lines)
		p.Add(line)
		p.Legend.Add(q.Name, line)
		lines++
	}
	if lines == 0 {
		return "", nil
	}
	p.Legend.Top = true
	p.Y.Min = 0
	return renderSVG(p, 720)
}

// leastBudgetLeft returns the at most maxPlottedQueues queues with the least budget
// left, in ascending order.
func leastBudgetLeft(queues []Queue) []Queue {
	out := slices.Clone(queues)
	slices.SortStableFunc(out, func(a, b Queue) int {
		if a.Left < b.Left {
			return -1
		}
		if a.Left > b.Left {
			return 1
		}
		return 0
	})
	return out[:min(len(out), maxPlottedQueues)]
}

// renderSVG returns the plot as an SVG element to be placed in an HTML page.
func renderSVG(p *plot.Plot, width font.Length) (template.HTML, error) {
	wt, err := p.WriterTo(width, 3.5*vg.Inch, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := wt.WriteTo(&b); err != nil {
		return "", err
	}
	// HTML doesn't allow the XML declaration that precedes the svg element.
	element := b.Bytes()
	if i := bytes.Index(element, []byte("<svg")); i > 0 {
		element = element[i:]
	}
	return template.HTML(element), nil
}
