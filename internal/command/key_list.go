package command

import (
	"time"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/apikey"
)

// newKeyListCommand returns the command that lists the API keys by hash:
//
//	trefoilline key list [--team TEAM] [--withdrawn]
func newKeyListCommand() *cobra.Command {
	var teamName string
	var withdrawn bool
	c := addOutputFlag(&cobra.Command{
		Use:     "list",
		Short:   "List the keys by hash",
		Long:    "List the hashes of the keys with their team and the time when they were issued.\nThe keys themselves are not stored.",
		Example: "  trefoilline key list --team north-schools --withdrawn",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := openStore(c)
			if err != nil {
				return err
			}
			records, err := apikey.ListKeyRecords(c.Context(), store)
			if err != nil {
				return err
			}
			return printResult(c, listKeys(records, teamName, withdrawn))
		},
	})
	c.Flags().StringVar(&teamName, "team", "", "only the keys of this team")
	c.Flags().BoolVar(&withdrawn, "withdrawn", false, "include withdrawn keys")
	return c
}

// keyList is the result of "key list".
type keyList struct {
	Keys []apikey.KeyRecord `json:"keys"`
}

func listKeys(records []apikey.KeyRecord, teamName string, withdrawn bool) keyList {
	list := keyList{
		Keys: []apikey.KeyRecord{},
	}
	for _, r := range records {
		if teamName != "" && r.Team != teamName || !withdrawn && !r.WithdrawnAt.IsZero() {
			continue
		}
		list.Keys = append(list.Keys, r)
	}
	return list
}

func (l keyList) textOutput() textOutput {
	text := textOutput{
		header: []string{"HASH", "TEAM", "ISSUED", "WITHDRAWN", "NOTE"},
	}
	for _, r := range l.Keys {
		text.rows = append(text.rows, []string{r.Hash.String(), r.Team, formatTime(r.IssuedAt), formatTime(r.WithdrawnAt), r.Note})
	}
	return text
}

// formatTime formats a time in UTC; the zero time gives an empty string.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}
