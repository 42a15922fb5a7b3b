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

// maxBarWidth is the width of the longest bar, in characters.
const maxBarWidth = 40

// newMeasuresCommand returns the command that shows each team's requests, rejections and latencies,
// and optionally writes them to an HTML report:
//
//	trefoilline measures [--report FILE]
func newMeasuresCommand() *cobra.Command {
	var reportFile string
	c := addOutputFlag(&cobra.Command{
		Use:   "measures",
		Short: "Show each team's requests, refusals and latencies",
		Long: `Show each team's requests, refusals by reason and latency percentiles since the
entry hosts started, with the percentiles drawn as bars. Counts are summed over the
hosts; each percentile is the maximum over the hosts.

With --report, also write them with plots to a self-contained HTML page.`,
		Example: `  trefoilline measures --output json
  trefoilline measures --report run.html`,
		Args: withUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			hosts, err := newHostClient(c)
			if err != nil {
				return err
			}
			summary := summarizeMetrics(hosts.fetchMetrics(c.Context()))
			if reportFile != "" {
				err := writeFile(reportFile, func(w io.Writer) error { return writeReport(w, time.Now(), summary) })
				if err != nil {
					return err
				}
			}
			return printResult(c, summary)
		},
	})
	c.Flags().StringVar(&reportFile, "report", "", "file to write the HTML report to")
	return c
}

// metricsSummary is the result of "measures".
type metricsSummary struct {
	// Hosts is the number of hosts that returned their metrics, Failed the number of
	// those whose call failed.
	Hosts  int            `json:"hosts"`
	Failed int            `json:"silent"`
	Teams  []*teamMetrics `json:"teams"`
}

func summarizeMetrics(hosts []map[string]metricValue) metricsSummary {
	summary := metricsSummary{
		Teams: []*teamMetrics{},
	}
	for _, metrics := range hosts {
		if metrics == nil {
			summary.Failed++
			continue
		}
		summary.Hosts++
		for _, name := range slices.Sorted(maps.Keys(metrics)) {
			summary.addMetric(name, metrics[name])
		}
	}
	slices.SortFunc(summary.Teams, func(a, b *teamMetrics) int { return cmp.Compare(a.Team, b.Team) })
	return summary
}

func (s metricsSummary) hostCountText() string {
	return fmt.Sprintf("%d hosts responded, %d failed", s.Hosts, s.Failed)
}

func (s metricsSummary) textOutput() textOutput {
	text := textOutput{
		linesBefore: []string{s.hostCountText()},
		header:      []string{"TEAM", "ANSWERED", "REFUSED", "PERCENTILE", "LATENCY", ""},
	}
	maxLatency := s.maxP99()
	for _, t := range s.Teams {
		answered, rejected := strconv.FormatInt(t.Answered, 10), strconv.FormatInt(t.Rejected, 10)
		if t.Answered == 0 {
			text.rows = append(text.rows, []string{t.Team, answered, rejected, "", "", ""})
		}
		for i, p := range t.percentilesIfAnswered() {
			row := []string{"", "", "", p.Name, p.Value.String(), formatBar(p.Value, maxLatency)}
			if i == 0 {
				copy(row, []string{t.Team, answered, rejected})
			}
			text.rows = append(text.rows, row)
		}
		for _, r := range t.Rejections {
			if r.Count == 0 {
				continue
			}
			text.linesAfter = append(text.linesAfter, fmt.Sprintf("%s refused, %s: %d", t.Team, r.Reason, r.Count))
		}
	}
	return text
}

// percentilesIfAnswered returns the latency percentiles, or nil if no request of the
// team was answered.
func (t *teamMetrics) percentilesIfAnswered() []percentile {
	if t.Answered == 0 {
		return nil
	}
	return t.Latency.percentiles()
}

func (s metricsSummary) maxP99() time.Duration {
	var maxLatency time.Duration
	for _, t := range s.Teams {
		maxLatency = max(maxLatency, t.Latency.P99)
	}
	return maxLatency
}

// percentile is one percentile of a latency.
type percentile struct {
	Name  string
	Value time.Duration
}

func (l durationStats) percentiles() []percentile {
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

func formatBar(value, maxLatency time.Duration) string {
	if maxLatency <= 0 {
		return ""
	}
	return strings.Repeat("#", int(maxBarWidth*value/maxLatency))
}
