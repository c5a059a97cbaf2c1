package bench

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Dimensions of a plot in units of its SVG view box.
const (
	plotWidth  = 640.0
	plotHeight = 300.0
	plotLeft   = 70.0
	plotBottom = 50.0
	plotTop    = 20.0
	plotRight  = 20.0
	// timeSlices is the number of points of a line in a plot over time.
	timeSlices = 20
	gridLines  = 5
)

// seriesColors differ in brightness as well as in hue.
var seriesColors = []string{"#0b5394", "#cc4125", "#38761d", "#7f6000", "#674ea7"}

// plot is one line chart.
type plot struct {
	Title, XLabel, YLabel string
	// XTicks label positions from 0 to 1.
	XTicks []tick
	Series []series
	maxY   float64
}

type tick struct {
	At   float64
	Text string
}

// series is one line of a plot; X ranges from 0 to 1.
type series struct {
	Name, Color string
	X, Y        []float64
}

// page is the data of the template.
type page struct {
	Title, Plan string
	Policies    []string
	Rows        [][]string
	Plots       []template.HTML
	Floor       string
}

// WriteHTML writes the report as one HTML page without external resources.
func (r Report) WriteHTML(w io.Writer) error {
	p := r.Plan
	data := page{
		Title: "Routing policies, profile " + p.Profile.Name,
		Plan: fmt.Sprintf("seed %d, %s of load for each policy at %.0f requests/s, time scale %g, greedy factor %g, fault %s. Times are model time.",
			p.Seed, p.Duration, p.rate(), p.Simulation.TimeScale, p.GreedyFactor, p.Fault),
		Floor: fmt.Sprintf("Lower bound of the time to first token, with ideal caches and no queues: p50 %.0f ms, p95 %.0f ms, p99 %.0f ms.",
			percentileMillis(r.MinTTFT, 50), percentileMillis(r.MinTTFT, 95), percentileMillis(r.MinTTFT, 99)),
	}
	for i := range r.Results {
		data.Policies = append(data.Policies, r.Results[i].Policy)
	}
	for _, m := range metrics {
		row := []string{m.name}
		for i := range r.Results {
			row = append(row, fmt.Sprintf("%.5g", m.value(&r.Results[i])))
		}
		data.Rows = append(data.Rows, row)
	}
	data.Rows = append(data.Rows, r.countRow("wrongful_refusals", func(x *Result) int { return x.WrongfulRejections }),
		r.countRow(outcomeIncomplete, func(x *Result) int { return x.Outcomes[outcomeIncomplete] }),
		r.countRow(outcomeWrong, func(x *Result) int { return x.Outcomes[outcomeWrong] }))
	for _, plot := range []plot{r.percentilePlot("Time to first token", func(x *Result) *hdrhistogram.Histogram { return x.TTFT }),
		r.percentilePlot("Time between tokens", func(x *Result) *hdrhistogram.Histogram { return x.InterTokenLatency }),
		r.ttftOverTime(), r.ttftByAccount()} {
		data.Plots = append(data.Plots, plot.svg())
	}
	return pageTemplate.Execute(w, data)
}

func (r Report) countRow(name string, count func(*Result) int) []string {
	row := []string{name}
	for i := range r.Results {
		row = append(row, fmt.Sprint(count(&r.Results[i])))
	}
	return row
}

// percentilePlot plots a latency over its percentiles, on a logarithmic scale of the tail.
func (r Report) percentilePlot(title string, histogramOf func(*Result) *hdrhistogram.Histogram) plot {
	points := []float64{0, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9}
	p := plot{Title: title, XLabel: "percentile", YLabel: "ms"}
	at := func(percentile float64) float64 { return -math.Log10(1-percentile/100) / 3 }
	for _, x := range []float64{0, 50, 90, 99, 99.9} {
		p.XTicks = append(p.XTicks, tick{at(x), fmt.Sprintf("p%g", x)})
	}
	for i := range r.Results {
		s := series{Name: r.Results[i].Policy, Color: seriesColors[i%len(seriesColors)]}
		for _, x := range points {
			s.X = append(s.X, at(x))
			s.Y = append(s.Y, percentileMillis(histogramOf(&r.Results[i]), x))
		}
		p.Series = append(p.Series, s)
	}
	return p
}

// ttftOverTime plots the p95 of the time to first token in each time slice of the run.
func (r Report) ttftOverTime() plot {
	p := plot{Title: "p95 of the time to first token over the run", XLabel: "model time", YLabel: "ms"}
	modelDuration := float64(r.Plan.Duration) * r.Plan.Simulation.TimeScale
	for k := range gridLines + 1 {
		x := float64(k) / gridLines
		p.XTicks = append(p.XTicks, tick{x, time.Duration(modelDuration * x).Round(time.Second).String()})
	}
	for i := range r.Results {
		histograms := make([]*hdrhistogram.Histogram, timeSlices)
		for k := range histograms {
			histograms[k] = newHistogram()
		}
		for _, s := range r.Results[i].samples {
			if k := int(s.arrival.at * timeSlices / r.Plan.Duration); s.ttft > 0 && k < timeSlices {
				_ = histograms[k].RecordValue(min(int64(float64(s.ttft.Microseconds())*r.Plan.Simulation.TimeScale), maxMicros))
			}
		}
		line := series{Name: r.Results[i].Policy, Color: seriesColors[i%len(seriesColors)]}
		for k, h := range histograms {
			line.X = append(line.X, (float64(k)+0.5)/timeSlices)
			line.Y = append(line.Y, percentileMillis(h, 95))
		}
		p.Series = append(p.Series, line)
	}
	return p
}

// ttftByAccount plots the p99 of the time to first token of each client account.
func (r Report) ttftByAccount() plot {
	p := plot{Title: "p99 of the time to first token by client account", XLabel: "client account", YLabel: "ms"}
	n := float64(len(r.Plan.Profile.Accounts))
	for a, account := range r.Plan.Profile.Accounts {
		p.XTicks = append(p.XTicks, tick{(float64(a) + 0.5) / n, account.Name})
	}
	for i := range r.Results {
		s := series{Name: r.Results[i].Policy, Color: seriesColors[i%len(seriesColors)]}
		for a, h := range r.Results[i].Accounts {
			s.X = append(s.X, (float64(a)+0.5)/n)
			s.Y = append(s.Y, percentileMillis(h, 99))
		}
		p.Series = append(p.Series, s)
	}
	return p
}

func (p *plot) x(at float64) float64 { return plotLeft + at*(plotWidth-plotLeft-plotRight) }
func (p *plot) y(value float64) float64 {
	return plotHeight - plotBottom - value/p.maxY*(plotHeight-plotBottom-plotTop)
}

// svg renders the plot. Its texts need no escaping: they are constants or names of policies
// and of the accounts of profiles.
func (p *plot) svg() template.HTML {
	p.maxY = 1
	for _, s := range p.Series {
		for _, y := range s.Y {
			p.maxY = math.Max(p.maxY, y*1.05)
		}
	}
	out := fmt.Sprintf(`<figure><figcaption>%s</figcaption><svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, p.Title, plotWidth, plotHeight, p.Title)
	for k := range gridLines + 1 {
		value := p.maxY * float64(k) / gridLines
		out += fmt.Sprintf(`<line class="grid" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/><text x="%g" y="%.1f" text-anchor="end">%.4g</text>`,
			plotLeft, plotWidth-plotRight, p.y(value), p.y(value), plotLeft-6, p.y(value)+4, value)
	}
	for _, t := range p.XTicks {
		out += fmt.Sprintf(`<text x="%.1f" y="%g" text-anchor="middle">%s</text>`, p.x(t.At), plotHeight-plotBottom+18, t.Text)
	}
	out += fmt.Sprintf(`<text x="%g" y="%g" text-anchor="middle">%s</text><text x="14" y="%g" transform="rotate(-90 14 %g)" text-anchor="middle">%s</text>`,
		plotWidth/2, plotHeight-8, p.XLabel, plotHeight/2, plotHeight/2, p.YLabel)
	for _, s := range p.Series {
		out += s.svg(p)
	}
	return template.HTML(out + "</svg>" + p.legend() + "</figure>")
}

func (s *series) svg(p *plot) string {
	points, dots := "", ""
	for i := range s.X {
		x, y := p.x(s.X[i]), p.y(s.Y[i])
		points += fmt.Sprintf("%.1f,%.1f ", x, y)
		dots += fmt.Sprintf(`<circle cx="%.1f" cy="%.1f" r="3" fill="%s"><title>%s: %.4g</title></circle>`, x, y, s.Color, s.Name, s.Y[i])
	}
	return fmt.Sprintf(`<polyline points="%s" stroke="%s"/>`, points, s.Color) + dots
}

func (p *plot) legend() string {
	out := `<p class="legend">`
	for _, s := range p.Series {
		out += fmt.Sprintf(`<span><i style="background:%s"></i>%s</span>`, s.Color, s.Name)
	}
	return out + "</p>"
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:15px/1.5 system-ui,sans-serif;color:#1a1a1a;background:#fff;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}th,td{border-bottom:1px solid #ccc;padding:.25em .8em;text-align:right}
th:first-child,td:first-child{text-align:left}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(26em,1fr));gap:1.5em}
figure{margin:0}figcaption{font-weight:600}svg{width:100%;height:auto}
svg text{font-size:13px;fill:#333}.grid{stroke:#ddd}polyline{fill:none;stroke-width:2}
.legend span{margin-right:1.2em}.legend i{display:inline-block;width:1em;height:.7em;margin-right:.4em}
</style></head><body>
<h1>{{.Title}}</h1><p>{{.Plan}}</p><p>{{.Floor}}</p>
<div class="plots">{{range .Plots}}{{.}}{{end}}</div>
<h2>Figures</h2><p>Latencies are in milliseconds, sent_away is a share of all requests.</p>
<table><tr><th>metric</th>{{range .Policies}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></body></html>
`))
