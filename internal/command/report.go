package command

import (
	"html/template"
	"io"
	"time"
)

const (
	// maxPlotBarWidth is the length of the longest bar, in pixels of the page.
	maxPlotBarWidth = 480
	// plotLineHeight is the height of a line of a plot, in pixels of the page.
	plotLineHeight = 18
)

// reportPage is what the page shows.
type reportPage struct {
	At    string
	Hosts string
	Teams []reportTeam
}

// reportTeam is one team with its plot.
type reportTeam struct {
	*teamMetrics
	Height int
	Bars   []reportBar
}

// reportBar is one bar of a plot.
type reportBar struct {
	Name  string
	Value string
	Top   int
	Text  int
	Width int
}

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<meta charset="utf-8">
<title>trefoilline: measures</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
td, th { text-align: left; padding-right: 1.5em; }
rect { fill: #3a6ea5; }
</style>
<h1>Measures</h1>
<p>{{.At}}: {{.Hosts}}. A percentile is that of the host where it is highest.</p>
{{range .Teams}}<h2>{{.Team}}</h2>
<p>{{.Answered}} answered, {{.Refused}} refused.</p>
{{if .Refusals}}<table><tr><th>reason</th><th>refused</th></tr>
{{range .Refusals}}<tr><td>{{.Reason}}</td><td>{{.Count}}</td></tr>
{{end}}</table>
{{end}}<svg width="700" height="{{.Height}}" role="img" aria-label="latency of {{.Team}}">
{{range .Bars}}<text x="0" y="{{.Text}}">{{.Name}} %</text><rect x="50" y="{{.Top}}" width="{{.Width}}" height="12"/><text x="540" y="{{.Text}}">{{.Value}}</text>
{{end}}</svg>
{{end}}</html>
`))

// writeReport writes the measures as a page with a plot for each team, all on
// one scale.
func writeReport(w io.Writer, at time.Time, list metricsSummary) error {
	page := reportPage{
		At:    formatTime(at),
		Hosts: list.hostCounts(),
	}
	slowest := list.maxP99()
	for _, t := range list.Teams {
		page.Teams = append(page.Teams, newReportTeam(t, slowest))
	}
	return wrapOutputError(reportTemplate.Execute(w, page))
}

func newReportTeam(t *teamMetrics, slowest time.Duration) reportTeam {
	team := reportTeam{
		teamMetrics: t,
	}
	for i, p := range t.Latency.percentiles() {
		b := reportBar{
			Name:  p.Name,
			Value: p.Value.String(),
			Top:   i * plotLineHeight,
			Text:  i*plotLineHeight + plotLineHeight*2/3,
		}
		if slowest > 0 {
			b.Width = int(maxPlotBarWidth * p.Value / slowest)
		}
		team.Bars = append(team.Bars, b)
	}
	team.Height = len(team.Bars) * plotLineHeight
	return team
}
