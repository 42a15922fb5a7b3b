package command

import (
	"time"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/team"
)

// trefoilline key list [--team TEAM] [--withdrawn]
//
// Shows the keys by their hashes.
func newKeyList() *cobra.Command {
	var name string
	var withdrawn bool
	c := addOutputFlag(&cobra.Command{
		Use:     "list",
		Short:   "Show the keys by their hashes",
		Long:    "Show the keys by their hashes, with their team and when they were issued.\nThe keys themselves are kept nowhere.",
		Example: "  trefoilline key list --team north-schools --withdrawn",
		Args:    usageChecked(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := openStore(c)
			if err != nil {
				return err
			}
			records, err := team.ListKeyRecords(c.Context(), store)
			if err != nil {
				return err
			}
			return printResult(c, listKeys(records, name, withdrawn))
		},
	})
	c.Flags().StringVar(&name, "team", "", "only the keys of this team")
	c.Flags().BoolVar(&withdrawn, "withdrawn", false, "withdrawn keys too")
	return c
}

// keyList is the answer of "key list".
type keyList struct {
	Keys []team.KeyRecord `json:"keys"`
}

func listKeys(records []team.KeyRecord, name string, withdrawn bool) keyList {
	list := keyList{
		Keys: []team.KeyRecord{},
	}
	for _, r := range records {
		if name != "" && r.Team != name || !withdrawn && !r.Withdrawn.IsZero() {
			continue
		}
		list.Keys = append(list.Keys, r)
	}
	return list
}

func (l keyList) textTable() textTable {
	g := textTable{
		header: []string{"HASH", "TEAM", "ISSUED", "WITHDRAWN", "NOTE"},
	}
	for _, r := range l.Keys {
		g.rows = append(g.rows, []string{r.Hash.String(), r.Team, formatTime(r.Issued), formatTime(r.Withdrawn), r.Note})
	}
	return g
}

// formatTime shows a time, nothing for none.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}
