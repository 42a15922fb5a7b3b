package experiment

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// WriteTable prints the report for a person. It returns an [OutputError].
func (r *Report) WriteTable(w io.Writer) error {
	if err := r.writeTotal(w); err != nil {
		return outputError(err)
	}
	if err := drawRows(w, teamHeader(), r.teamRows()); err != nil {
		return err
	}
	if err := drawRows(w, reasonHeader(), r.reasonRows()); err != nil {
		return err
	}
	return drawRows(w, faultHeader(), r.faultRows())
}

func (r *Report) writeTotal(w io.Writer) error {
	t := r.Total
	partial := ""
	if r.Partial {
		partial = " (ended early)"
	}
	_, err := fmt.Fprintf(w, `%s, seed %d, %v%s
sent %d, answered %d, not run %d, unknown %d, unreached %d, withheld %d
wrongful refusals %d
lowest answered part %s (%s), highest p99 %s ms (%s)
`,
		r.Name, r.Seed, time.Duration(r.Duration), partial,
		t.Sent, t.Answered, t.NotRun, t.OutcomeUnknown, t.Unreachable, t.NotSent,
		t.WrongfulRejections,
		decimals(t.LowestAnsweredShare), t.LowestAnsweredShareTeam, decimals(t.HighestP99Milliseconds), t.HighestP99Team)
	return err
}

func teamHeader() []string {
	return []string{"team", "sent", "answered", "not-run", "unknown", "unreached", "withheld", "wrongful", "part", "p50-ms", "p90-ms", "p99-ms", "max-ms"}
}

func (r *Report) teamRows() [][]string {
	var rows [][]string
	for _, t := range r.Teams {
		row := []string{t.Team}
		for _, n := range []int{t.Sent, t.Answered, t.NotRun, t.OutcomeUnknown, t.Unreachable, t.NotSent, t.WrongfulRejections} {
			row = append(row, strconv.Itoa(n))
		}
		for _, f := range []float64{t.AnsweredShare, t.P50, t.P90, t.P99, t.Max} {
			row = append(row, decimals(f))
		}
		rows = append(rows, row)
	}
	return rows
}

func reasonHeader() []string { return []string{"team", "kind", "reason", "count"} }

func (r *Report) reasonRows() [][]string {
	var rows [][]string
	for _, t := range r.Teams {
		for _, c := range t.Reasons {
			rows = append(rows, []string{t.Team, string(c.Outcome), c.Reason, strconv.Itoa(c.Count)})
		}
	}
	return rows
}

func faultHeader() []string { return []string{"at", "fault", "body", "recovery", "state"} }

func (r *Report) faultRows() [][]string {
	var rows [][]string
	for _, f := range r.Faults {
		rows = append(rows, []string{
			time.Duration(f.At).String(),
			f.URL,
			f.Body,
			time.Duration(f.RecoveryTime).String(),
			f.state(),
		})
	}
	return rows
}

func (f FaultReport) state() string {
	switch {
	case f.Error != "":
		return "not in force: " + f.Error
	case f.Recovered:
		return "recovered"
	default:
		return "not recovered"
	}
}

func decimals(f float64) string {
	return strings.TrimSuffix(strconv.FormatFloat(f, 'f', 3, 64), ".000")
}

// drawRows prints a blank line and a table, or nothing without rows.
func drawRows(w io.Writer, header []string, rows [][]string) error {
	if len(rows) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return outputError(err)
	}
	drawn := tablewriter.NewTable(w,
		tablewriter.WithRenderer(renderer.NewBlueprint(tw.Rendition{
			Borders: tw.BorderNone,
			Settings: tw.Settings{
				Separators: tw.SeparatorsNone,
				Lines:      tw.LinesNone,
			},
		})),
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithRowAlignment(tw.AlignLeft),
	)
	drawn.Header(header)
	if err := drawn.Bulk(rows); err != nil {
		return outputError(err)
	}
	return outputError(drawn.Render())
}
