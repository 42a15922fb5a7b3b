package command

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// barWidth is the length of the longest bar, in characters.
const barWidth = 40

// trefoilline measures
//
// Shows each team's requests, refusals and latencies as bars.
func newMeasures() *cobra.Command {
	return addOutput(&cobra.Command{
		Use:   "measures",
		Short: "Show each team's requests, refusals and latencies",
		Long: `Show each team's requests, refusals and latencies over all entry hosts since they
started, with the 99th percentile of the latency drawn as a bar. Latencies are
those of the host where the team fares worst.`,
		Example: "  trefoilline measures --output json",
		Args:    arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			hosts, err := openHosts(c)
			if err != nil {
				return err
			}
			return show(c, measure(sampleFleet(time.Now(), hosts.statuses(c.Context()))))
		},
	})
}

// measureList is the answer of "measures".
type measureList struct {
	// Hosts is how many hosts answered, Silent how many did not.
	Hosts  int           `json:"hosts"`
	Silent int           `json:"silent"`
	Teams  []teamMeasure `json:"teams"`
}

// teamMeasure is how one team fares.
type teamMeasure struct {
	Team     string `json:"team"`
	Answered uint64 `json:"answered"`
	OverRate uint64 `json:"over-rate"`
	Refused  uint64 `json:"refused"`
	// Latencies are in nanoseconds.
	LatencyP50 time.Duration `json:"latency-p50"`
	LatencyP99 time.Duration `json:"latency-p99"`
}

func measure(f fleetSample) measureList {
	list := measureList{
		Teams: []teamMeasure{},
	}
	for _, h := range f.hosts {
		if h.Fault != "" {
			list.Silent++
			continue
		}
		list.Hosts++
	}
	for _, name := range slices.Sorted(maps.Keys(f.teams)) {
		t := f.teams[name]
		list.Teams = append(list.Teams, teamMeasure{
			Team:       name,
			Answered:   t.answered,
			OverRate:   t.overRate,
			Refused:    t.refused,
			LatencyP50: t.p50,
			LatencyP99: t.p99,
		})
	}
	return list
}

func (l measureList) grid() grid {
	g := grid{
		before: []string{strconv.Itoa(l.Hosts) + " hosts answered, " + strconv.Itoa(l.Silent) + " did not"},
		header: []string{"TEAM", "ANSWERED", "OVER RATE", "REFUSED", "P50", "P99", ""},
	}
	var slowest time.Duration
	for _, t := range l.Teams {
		slowest = max(slowest, t.LatencyP99)
	}
	for _, t := range l.Teams {
		g.rows = append(g.rows, []string{
			t.Team, strconv.FormatUint(t.Answered, 10), strconv.FormatUint(t.OverRate, 10), strconv.FormatUint(t.Refused, 10),
			t.LatencyP50.String(), t.LatencyP99.String(), bar(t.LatencyP99, slowest),
		})
	}
	return g
}

func bar(value, most time.Duration) string {
	if most <= 0 {
		return ""
	}
	return strings.Repeat("#", int(barWidth*value/most))
}
