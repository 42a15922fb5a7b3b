package command

import (
	"html/template"
	"io"
	"time"
)

const (
	// maxPlotBarWidth is the width of the longest bar, in CSS pixels.
	maxPlotBarWidth = 480
	// plotLineHeight is the height of a line of a plot, in CSS pixels.
	plotLineHeight = 18
)

// reportPage is the data of the HTML report.
type reportPage struct {
	At    string
	Hosts string
	Teams []reportTeam
}

// reportTeam is the metrics of one team and its plot.
type reportTeam struct {
	*teamMetrics
	Height int
	Bars   []reportBar
}

// reportBar is one bar of a plot with its labels. Positions and widths are in CSS pixels.
type reportBar struct {
	Name  string
	Value string
	// Top is the vertical position of the bar, TextY that of the baseline of its labels.
	Top   int
	TextY int
	Width int
}

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<meta charset="utf-8">
<title>trefoilline: metrics</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
td, th { text-align: left; padding-right: 1.5em; }
rect { fill: #3a6ea5; }
</style>
<h1>Metrics</h1>
<p>{{.At}}: {{.Hosts}}. Each percentile is the maximum over the hosts.</p>
{{range .Teams}}<h2>{{.Team}}</h2>
<p>{{.Answered}} answered, {{.Rejected}} refused.</p>
{{if .Rejections}}<table><tr><th>reason</th><th>refused</th></tr>
{{range .Rejections}}<tr><td>{{.Reason}}</td><td>{{.Count}}</td></tr>
{{end}}</table>
{{end}}<svg width="700" height="{{.Height}}" role="img" aria-label="latency of {{.Team}}">
{{range .Bars}}<text x="0" y="{{.TextY}}">p{{.Name}}</text><rect x="50" y="{{.Top}}" width="{{.Width}}" height="12"/><text x="540" y="{{.TextY}}">{{.Value}}</text>
{{end}}</svg>
{{end}}</html>
`))

// writeReport writes the metrics as an HTML page with a latency plot for each team. All
// plots have the same scale.
func writeReport(w io.Writer, at time.Time, summary metricsSummary) error {
	page := reportPage{
		At:    formatTime(at),
		Hosts: summary.hostCountText(),
	}
	maxLatency := summary.maxP99()
	for _, t := range summary.Teams {
		page.Teams = append(page.Teams, newReportTeam(t, maxLatency))
	}
	return wrapOutputError(reportTemplate.Execute(w, page))
}

func newReportTeam(t *teamMetrics, maxLatency time.Duration) reportTeam {
	team := reportTeam{
		teamMetrics: t,
	}
	for i, p := range t.Latency.percentiles() {
		b := reportBar{
			Name:  p.Name,
			Value: p.Value.String(),
			Top:   i * plotLineHeight,
			TextY: i*plotLineHeight + plotLineHeight*2/3,
		}
		if maxLatency > 0 {
			b.Width = int(maxPlotBarWidth * p.Value / maxLatency)
		}
		team.Bars = append(team.Bars, b)
	}
	team.Height = len(team.Bars) * plotLineHeight
	return team
}
