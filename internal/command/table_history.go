package command

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// newTableHistoryCommand returns the command that lists the latest versions of the table, newest first:
//
//	trefoilline table history [--limit N]
func newTableHistoryCommand() *cobra.Command {
	var limit int
	c := addOutputFlag(&cobra.Command{
		Use:     "history",
		Short:   "List the latest versions of the table, newest first",
		Long:    "List the latest versions of the table, newest first, with the time of publication,\nthe author and the edit that created each. Listing N versions makes N reads of the\nstore.",
		Example: "  trefoilline table history --limit 5",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := openStore(c)
			if err != nil {
				return err
			}
			manifests, err := table.History(c.Context(), store, max(limit, 0))
			if err != nil {
				return err
			}
			return printResult(c, newVersionList(manifests))
		},
	})
	c.Flags().IntVar(&limit, "limit", 20, "maximum number of versions to list; 0 means all")
	return c
}

// versionList is the result of "table history".
type versionList struct {
	Versions []versionSummary `json:"versions"`
}

// versionSummary describes one version of the table without its content.
type versionSummary struct {
	Version   table.Version `json:"version"`
	Base      table.Version `json:"base"`
	Edit      table.EditID  `json:"edit"`
	Author    string        `json:"author"`
	Note      string        `json:"note"`
	Published time.Time     `json:"published"`
	Blocks    int           `json:"blocks"`
}

func newVersionList(manifests []table.Manifest) versionList {
	list := versionList{
		Versions: []versionSummary{},
	}
	for _, m := range manifests {
		list.Versions = append(list.Versions, versionSummary{
			Version:   m.Version,
			Base:      m.Base,
			Edit:      m.EditID,
			Author:    m.Author,
			Note:      m.Note,
			Published: m.PublishedAt,
			Blocks:    m.BlockCount,
		})
	}
	return list
}

func (l versionList) textOutput() textOutput {
	text := textOutput{
		header: []string{"VERSION", "PUBLISHED", "BASE", "AUTHOR", "EDIT", "NOTE"},
	}
	for _, v := range l.Versions {
		text.rows = append(text.rows, []string{
			strconv.FormatUint(uint64(v.Version), 10), formatTime(v.Published),
			strconv.FormatUint(uint64(v.Base), 10), v.Author, string(v.Edit), v.Note,
		})
	}
	return text
}
