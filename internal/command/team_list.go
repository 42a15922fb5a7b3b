package command

import (
	"strconv"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/table"
)

// newTeamListCommand returns the command that lists the teams of the current table with the number of
// their keys:
//
//	trefoilline team list
func newTeamListCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:     "list",
		Short:   "List the teams of the current table and the number of their keys",
		Long:    "List the teams of the current table with their rate, burst and weight over all\nhosts, and the numbers of their valid and withdrawn keys.\n\nTo create a team, add a row to the table: see \"trefoilline table apply\".",
		Example: "  trefoilline team list --output json",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := openStore(c)
			if err != nil {
				return err
			}
			reader := table.Reader{}
			snapshot, err := reader.Load(c.Context(), store)
			if err != nil {
				return err
			}
			records, err := apikey.ListKeyRecords(c.Context(), store)
			if err != nil {
				return err
			}
			return printResult(c, buildTeamList(snapshot.Table, records))
		},
	})
}

// teamList is the result of "team list".
type teamList struct {
	Version table.Version `json:"version"`
	Teams   []teamSummary `json:"teams"`
}

// teamSummary is one team with the numbers of its valid and withdrawn keys.
type teamSummary struct {
	table.Team
	Keys      int `json:"keys"`
	Withdrawn int `json:"withdrawn"`
}

func buildTeamList(t table.Table, records []apikey.KeyRecord) teamList {
	list := teamList{
		Version: t.Version,
		Teams:   []teamSummary{},
	}
	for _, row := range t.Teams {
		summary := teamSummary{
			Team: row,
		}
		for _, r := range records {
			switch {
			case r.Team != row.Name:
			case r.WithdrawnAt.IsZero():
				summary.Keys++
			default:
				summary.Withdrawn++
			}
		}
		list.Teams = append(list.Teams, summary)
	}
	return list
}

func (l teamList) textOutput() textOutput {
	text := textOutput{
		header: []string{"TEAM", "RATE/S", "BURST", "WEIGHT", "KEYS", "WITHDRAWN"},
	}
	for _, t := range l.Teams {
		text.rows = append(text.rows, []string{
			t.Name, formatNumber(t.Rate), formatNumber(t.Burst), formatNumber(t.Weight),
			strconv.Itoa(t.Keys), strconv.Itoa(t.Withdrawn),
		})
	}
	return text
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
