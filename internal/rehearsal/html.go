package rehearsal

import (
	"bytes"
	"fmt"
	"html/template"
	"math"
	"strings"
)

// Sizes of the charts, in pixels.
const (
	plotLeft  = 130
	plotWidth = 900
	plotHigh  = 170
	rowHigh   = 18
)

// picture writes an SVG chart whose horizontal axis is the time of the run.
type picture struct {
	strings.Builder
	length float64 // seconds
}

func (p *picture) x(s float64) float64 {
	return plotLeft + plotWidth*min(max(s/p.length, 0), 1)
}

// open starts the chart and draws the faults in the background, over its whole height.
func (p *picture) open(high int, faults []Mark) {
	fmt.Fprintf(p, `<svg viewBox="0 0 %d %d" width="100%%" role="img">`, plotLeft+plotWidth+20, high+24)
	for _, f := range faults {
		x, to := p.x(f.FromS), p.x(f.ToS)
		fmt.Fprintf(p, `<rect class="fault" x="%.1f" y="0" width="%.1f" height="%d"><title>%s, %.1f to %.1f s</title></rect>`,
			x, max(to-x, 1.5), high, template.HTMLEscapeString(f.What), f.FromS, f.ToS)
		fmt.Fprintf(p, `<line class="start" x1="%.1f" x2="%.1f" y1="0" y2="%d"/>`, x, x, high)
	}
}

// close draws the time axis and ends the chart.
func (p *picture) close(high int) {
	step := 5.0
	for p.length/step > 12 {
		step *= 2
	}
	for s := 0.0; s <= p.length; s += step {
		fmt.Fprintf(p, `<line class="grid" x1="%.1f" x2="%.1f" y1="0" y2="%d"/><text x="%.1f" y="%d" text-anchor="middle">%.0f s</text>`,
			p.x(s), p.x(s), high, p.x(s), high+16, s)
	}
	p.WriteString("</svg>")
}

func (p *picture) label(y float64, text string) {
	fmt.Fprintf(p, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`, plotLeft-6, y, template.HTMLEscapeString(text))
}

// worthPlot draws the worth of each second, stacked by outcome.
func (rep *Report) worthPlot() template.HTML {
	p := &picture{length: rep.LengthS}
	most := 1.0
	for _, w := range rep.Timeline.Seconds {
		most = max(most, w.Asked)
	}
	p.open(plotHigh, rep.Timeline.Faults)
	for i, w := range rep.Timeline.Seconds {
		y := float64(plotHigh)
		for _, part := range []struct {
			class string
			worth float64
		}{{"served", w.Served}, {"late", w.Late}, {"refused", w.Refused}, {"failed", w.Failed}} {
			h := part.worth / most * plotHigh
			y -= h
			if h > 0 {
				fmt.Fprintf(p, `<rect class="%s" x="%.1f" y="%.1f" width="%.1f" height="%.1f"><title>second %d: %s %.0f of %.0f</title></rect>`,
					part.class, p.x(float64(i)), y, max(p.x(float64(i+1))-p.x(float64(i))-0.5, 0.5), h, i, part.class, part.worth, w.Asked)
			}
		}
	}
	if rep.Best != nil {
		fmt.Fprint(p, `<polyline class="aim" fill="none" points="`)
		for i, v := range rep.Best.Seconds {
			fmt.Fprintf(p, "%.1f,%.1f ", p.x(float64(i)+0.5), plotHigh-min(v/most, 1)*plotHigh)
		}
		fmt.Fprint(p, `"><title>the most that could have been served</title></polyline>`)
	}
	p.label(10, fmt.Sprintf("%.0f a second", most))
	p.label(plotHigh, "0")
	p.close(plotHigh)
	return template.HTML(p.String())
}

// latencyPlot draws a class's latency percentiles and its target latency.
func (rep *Report) latencyPlot(class string) template.HTML {
	p := &picture{length: rep.LengthS}
	const high = 110
	points, aim := rep.Timeline.Latency[class], rep.Classes[class].AimMs
	most := aim * 1.2
	for _, k := range points {
		most = max(most, k.P99)
	}
	y := func(ms float64) float64 { return high - high*ms/most }
	p.open(high, rep.Timeline.Faults)
	for _, line := range []struct {
		name string
		of   func(Percentile) float64
	}{
		{"p50", func(k Percentile) float64 { return k.P50 }},
		{"p95", func(k Percentile) float64 { return k.P95 }},
		{"p99", func(k Percentile) float64 { return k.P99 }},
	} {
		fmt.Fprintf(p, `<polyline class="%s" points="`, line.name)
		for _, k := range points {
			fmt.Fprintf(p, "%.1f,%.1f ", p.x(k.AtS), y(line.of(k)))
		}
		fmt.Fprintf(p, `"><title>%s</title></polyline>`, line.name)
	}
	fmt.Fprintf(p, `<line class="aim" x1="%d" x2="%d" y1="%.1f" y2="%.1f"/>`, plotLeft, plotLeft+plotWidth, y(aim), y(aim))
	p.label(y(aim)+4, fmt.Sprintf("wanted %.0f ms", aim))
	p.label(12, fmt.Sprintf("%.0f ms", most))
	p.close(high)
	return template.HTML(p.String())
}

// nodePlot draws a row for each node, with its state as the colour and its share of the work as the opacity, and
// below them a row for each proxy with the lifetimes of its processes.
func (rep *Report) nodePlot() template.HTML {
	p := &picture{length: rep.LengthS}
	t := rep.Timeline
	var names []string
	rows := map[string]int{}
	for _, l := range t.Proxies {
		name, _, _ := strings.Cut(l.What, " ")
		if _, known := rows[name]; !known {
			rows[name] = len(names)
			names = append(names, name)
		}
	}
	high := (len(t.Nodes) + len(names)) * rowHigh
	p.open(high, rep.Timeline.Faults)
	fair := 1 / float64(max(len(t.Nodes), 1))
	for i, n := range t.Nodes {
		y := i * rowHigh
		p.label(float64(y+13), fmt.Sprintf("%s %s x%.2f", n.Kind, n.Zone, n.Speed))
		for k, state := range n.State {
			if state == "" {
				continue
			}
			full := min(1, 0.15+0.4*n.Share[k]/fair)
			if state == "dead" || state == "fallen" || state == "vanished" {
				full = 1
			}
			fmt.Fprintf(p, `<rect class="s-%s" x="%.1f" y="%d" width="%.1f" height="%d" fill-opacity="%.2f"><title>%s, second %d: %s, %.1f%% of the work</title></rect>`,
				state, p.x(float64(k)), y+1, p.x(float64(k+1))-p.x(float64(k)), rowHigh-2, full, n.ID, k, state, 100*n.Share[k])
		}
	}
	for _, l := range t.Proxies {
		name, how, _ := strings.Cut(l.What, " ")
		y := (len(t.Nodes) + rows[name]) * rowHigh
		fmt.Fprintf(p, `<rect class="life" x="%.1f" y="%d" width="%.1f" height="%d"><title>%s, %.1f to %.1f s: %s</title></rect>`,
			p.x(l.FromS), y+4, max(p.x(l.ToS)-p.x(l.FromS), 1), rowHigh-8, name, l.FromS, l.ToS, how)
	}
	for name, i := range rows {
		p.label(float64((len(t.Nodes)+i)*rowHigh+13), "proxy "+name)
	}
	p.close(high)
	return template.HTML(p.String())
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"three": func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"whole": func(v float64) string { return fmt.Sprintf("%.0f", math.Round(v)) },
	"two":   func(v float64) string { return fmt.Sprintf("%.2f", v) },
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>{{.R.Scenario}}: service {{three .R.Service}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:1080px;margin:1.5rem auto;padding:0 1rem;color:#1c2733;background:#fff}
h1{font-size:1.4rem;margin:0}h2{font-size:1.05rem;margin:1.6rem 0 .3rem}
table{border-collapse:collapse}td,th{padding:.15rem .7rem;text-align:right;border-bottom:1px solid #dde3e8}td:first-child,th:first-child{text-align:left}
.big{font-size:2.2rem;font-weight:600}.good{color:#1a7f4b}.bad{color:#b3261e}.quiet{color:#5c6b78}
svg text{font:11px system-ui,sans-serif;fill:#44525f}
.served{fill:#3d9970}.late{fill:#e6b400}.refused{fill:#8fa6bd}.failed{fill:#c0392b}
.fault{fill:#7b4fa3;fill-opacity:.10}.start{stroke:#7b4fa3;stroke-width:1;stroke-dasharray:3 3}.grid{stroke:#1c2733;stroke-opacity:.08}
polyline{fill:none;stroke-width:1.6}.p50{stroke:#3d9970}.p95{stroke:#2f6db5}.p99{stroke:#c0392b}.aim{stroke:#1c2733;stroke-dasharray:6 4;stroke-opacity:.6}
.s-up{fill:#3d9970}.s-cold{fill:#2f8fd0}.s-slow,.s-taken,.s-crowded{fill:#e08a00}.s-draining{fill:#8e7cc3}.s-dead,.s-fallen{fill:#3a3f44}.s-vanished{fill:#a0a7ad}.life{fill:#2f6db5;fill-opacity:.6}
.key span{display:inline-block;padding:0 .5rem;margin-right:.4rem;color:#fff;border-radius:3px;font-size:.85rem}
</style>
<h1>{{.R.Scenario}}</h1>
<p class="quiet">{{.R.About}}</p>
<p><span class="big">{{three .R.Service}}</span> of the worth asked for was served, as the operators count it; {{three .R.After}} with their deductions.
{{if .OK}}<b class="good">All four rules were kept.</b>{{else}}<b class="bad">Rules broken: lost {{.R.Rules.Lost}}, duplicated {{.R.Rules.Duplicated}}, drains {{.R.Rules.Drains}}, cold {{.R.Rules.Cold}}, settings {{.R.Rules.Settings}}; {{.R.Crashes}} crashes.</b>{{end}}
{{if .R.Void}}<b class="bad">This run is void: {{.R.Void}}.</b>{{end}}</p>
<p class="quiet">{{.R.Proxy}}, seed {{.R.Seed}}, {{.R.Requests}} requests in {{whole .R.LengthS}} s. Schedule <code>{{.R.Schedule}}</code></p>
<table><tr><th>part</th><th>weight</th><th>service</th><th></th></tr>
<tr><td>the whole run</td><td>45%</td><td>{{three .R.Parts.Whole}}</td><td></td></tr>
<tr><td>worst 10 s</td><td>15%</td><td>{{three .R.Parts.Window}}</td><td>from {{whole .R.WorstWindow.FromS}} s</td></tr>
<tr><td>worst class</td><td>30%</td><td>{{three .R.Parts.Class}}</td><td>{{.R.Parts.WorstClass}}</td></tr>
<tr><td>worst house within its share</td><td>10%</td><td>{{three .R.Parts.House}}</td><td>{{.R.Parts.WorstHouse}}</td></tr></table>
<h2>Worth a second, by what became of it</h2>
<p class="key"><span style="background:#3d9970">served in time</span><span style="background:#e6b400">served late</span><span style="background:#8fa6bd">refused</span><span style="background:#c0392b">failed</span><span style="background:#7b4fa3">faults</span></p>
{{.Worth}}
<p class="quiet">Faults, on every picture: {{range .R.Timeline.Faults}}{{.What}} ({{two .FromS}} to {{two .ToS}} s); {{end}}</p>
{{range .Latency}}<h2>{{.Name}}: latency of answers that served</h2>{{.Plot}}{{end}}
<p class="key"><span style="background:#3d9970">p50</span><span style="background:#2f6db5">p95</span><span style="background:#c0392b">p99</span> over 2 s each, from the planned arrival</p>
<h2>Nodes and proxies</h2>
<p class="key"><span style="background:#3d9970">up</span><span style="background:#2f8fd0">cold</span><span style="background:#e08a00">slow, taken or crowded</span><span style="background:#8e7cc3">draining</span><span style="background:#3a3f44">dead or fallen</span><span style="background:#a0a7ad">vanished</span> fuller: more of the work</p>
{{.Nodes}}
<h2>Classes</h2>
<table><tr><th>class</th><th>requests</th><th>service</th><th>p50 ms</th><th>p95</th><th>p99</th><th>max</th><th>wanted</th></tr>
{{range $n, $c := .R.Classes}}<tr><td>{{$n}}</td><td>{{$c.Requests}}</td><td>{{three $c.Service}}</td><td>{{whole $c.P50}}</td><td>{{whole $c.P95}}</td><td>{{whole $c.P99}}</td><td>{{whole $c.MostMs}}</td><td>{{whole $c.AimMs}}</td></tr>{{end}}</table>
<h2>Houses, within their shares</h2>
<table><tr><th>house</th><th>requests</th><th>service</th></tr>{{range $n, $h := .R.Houses}}<tr><td>{{$n}}</td><td>{{$h.Requests}}</td><td>{{three $h.Service}}</td></tr>{{end}}</table>
<h2>Deductions, in points of 100</h2>
<table>{{range $n, $d := .R.Deductions}}<tr><td>{{$n}}</td><td>{{two $d}}</td></tr>{{end}}</table>
{{if .R.Breaks}}<h2 class="bad">Broken rules</h2><ul>{{range .R.Breaks}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{if .R.Crashed}}<h2 class="bad">Crashes</h2><ul>{{range .R.Crashed}}<li>{{.}}</li>{{end}}</ul>{{end}}
<p class="quiet">{{.R.Tries}} tries, {{.R.Attempts}} attempts, {{.R.Handshakes}} handshakes, {{.R.Probes}} probes. Sends were late by {{two .R.GeneratorMs}} ms at p99. {{.R.Note}}</p>
</html>
`))

// HTML returns the report as a self-contained page.
func (rep *Report) HTML() ([]byte, error) {
	type latency struct {
		Name string
		Plot template.HTML
	}
	data := struct {
		R            *Report
		OK           bool
		Worth, Nodes template.HTML
		Latency      []latency
	}{R: rep, OK: rep.OK(), Worth: rep.worthPlot(), Nodes: rep.nodePlot()}
	for _, n := range sorted(rep.Classes) {
		data.Latency = append(data.Latency, latency{n, rep.latencyPlot(n)})
	}
	var b bytes.Buffer
	if err := page.Execute(&b, data); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return b.Bytes(), nil
}
