package command

import (
	"strconv"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

// trefoilline team list
//
// Shows the teams of the table in force and how many good keys each has.
func newTeamList() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:     "list",
		Short:   "Show the teams of the table in force and their keys' number",
		Long:    "Show the teams of the table in force with their rate, burst and weight over all\nhosts, and the number of their keys that are good and that are withdrawn.\n\nTeams are created by a row of the table: see \"trefoilline table apply\".",
		Example: "  trefoilline team list --output json",
		Args:    usageChecked(cobra.NoArgs),
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
			records, err := team.ListKeyRecords(c.Context(), store)
			if err != nil {
				return err
			}
			return printResult(c, buildTeamList(snapshot.Table, records))
		},
	})
}

// teamList is the answer of "team list".
type teamList struct {
	Version table.Version `json:"version"`
	Teams   []teamSummary    `json:"teams"`
}

// teamSummary is one team and the number of its keys.
type teamSummary struct {
	table.Team
	Keys      int `json:"keys"`
	Withdrawn int `json:"withdrawn"`
}

func buildTeamList(t table.Table, records []team.KeyRecord) teamList {
	list := teamList{
		Version: t.Version,
		Teams:   []teamSummary{},
	}
	for _, row := range t.Teams {
		line := teamSummary{
			Team: row,
		}
		for _, r := range records {
			switch {
			case r.Team != row.Name:
			case r.Withdrawn.IsZero():
				line.Keys++
			default:
				line.Withdrawn++
			}
		}
		list.Teams = append(list.Teams, line)
	}
	return list
}

func (l teamList) textTable() textTable {
	g := textTable{
		header: []string{"TEAM", "RATE/S", "BURST", "WEIGHT", "KEYS", "WITHDRAWN"},
	}
	for _, t := range l.Teams {
		g.rows = append(g.rows, []string{
			t.Name, formatNumber(t.Rate), formatNumber(t.Burst), formatNumber(t.Weight),
			strconv.Itoa(t.Keys), strconv.Itoa(t.Withdrawn),
		})
	}
	return g
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
