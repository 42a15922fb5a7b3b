package command

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxBarWidth is the length of the longest bar, in characters.
const maxBarWidth = 40

// trefoilline measures [--report FILE]
//
// Shows each team's requests, refusals and latencies, and writes a report.
func newMeasures() *cobra.Command {
	var report string
	c := addOutputFlag(&cobra.Command{
		Use:   "measures",
		Short: "Show each team's requests, refusals and latencies",
		Long: `Show each team's requests, refusals by reason and latencies over all entry hosts
since they started, with the percentiles of the latency drawn as bars. Counts add
up over the hosts; a percentile is that of the host where it is highest.

With --report, write the same with plots as an HTML page that needs nothing else.`,
		Example: `  trefoilline measures --output json
  trefoilline measures --report run.html`,
		Args: usageChecked(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			hosts, err := newHostClient(c)
			if err != nil {
				return err
			}
			list := summarizeMetrics(hosts.fetchMetrics(c.Context()))
			if report != "" {
				err := writeFile(report, func(w io.Writer) error { return writeReport(w, time.Now(), list) })
				if err != nil {
					return err
				}
			}
			return printResult(c, list)
		},
	})
	c.Flags().StringVar(&report, "report", "", "file to write a page with plots to")
	return c
}

// metricsSummary is the answer of "measures".
type metricsSummary struct {
	// Hosts is how many hosts answered, Silent how many did not.
	Hosts  int            `json:"hosts"`
	NotResponding int            `json:"silent"`
	Teams  []*teamMetrics `json:"teams"`
}

func summarizeMetrics(hosts []map[string]metricValue) metricsSummary {
	list := metricsSummary{
		Teams: []*teamMetrics{},
	}
	for _, samples := range hosts {
		if samples == nil {
			list.NotResponding++
			continue
		}
		list.Hosts++
		for _, name := range slices.Sorted(maps.Keys(samples)) {
			list.addMetric(name, samples[name])
		}
	}
	slices.SortFunc(list.Teams, func(a, b *teamMetrics) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

func (l metricsSummary) hostCounts() string {
	return fmt.Sprintf("%d hosts answered, %d did not", l.Hosts, l.NotResponding)
}

func (l metricsSummary) textTable() textTable {
	g := textTable{
		linesBefore: []string{l.hostCounts()},
		header: []string{"TEAM", "ANSWERED", "REFUSED", "PERCENTILE", "LATENCY", ""},
	}
	slowest := l.maxP99()
	for _, t := range l.Teams {
		answered, refused := strconv.FormatInt(t.Answered, 10), strconv.FormatInt(t.Refused, 10)
		if t.Answered == 0 {
			g.rows = append(g.rows, []string{t.Team, answered, refused, "", "", ""})
		}
		for i, p := range t.percentilesIfAnswered() {
			row := []string{"", "", "", p.Name, p.Value.String(), formatBar(p.Value, slowest)}
			if i == 0 {
				copy(row, []string{t.Team, answered, refused})
			}
			g.rows = append(g.rows, row)
		}
		for _, r := range t.Refusals {
			if r.Count == 0 {
				continue
			}
			g.linesAfter = append(g.linesAfter, fmt.Sprintf("%s refused, %s: %d", t.Team, r.Reason, r.Count))
		}
	}
	return g
}

// percentilesIfAnswered are none for a team that had no answer.
func (t *teamMetrics) percentilesIfAnswered() []percentile {
	if t.Answered == 0 {
		return nil
	}
	return t.Latency.percentiles()
}

func (l metricsSummary) maxP99() time.Duration {
	var slowest time.Duration
	for _, t := range l.Teams {
		slowest = max(slowest, t.Latency.P99)
	}
	return slowest
}

// percentile is one of a latency's percentiles.
type percentile struct {
	Name  string
	Value time.Duration
}

func (l latencyPercentiles) percentiles() []percentile {
	return []percentile{
		{
			Name:  "50",
			Value: l.P50,
		},
		{
			Name:  "75",
			Value: l.P75,
		},
		{
			Name:  "95",
			Value: l.P95,
		},
		{
			Name:  "99",
			Value: l.P99,
		},
	}
}

func formatBar(value, most time.Duration) string {
	if most <= 0 {
		return ""
	}
	return strings.Repeat("#", int(maxBarWidth*value/most))
}
