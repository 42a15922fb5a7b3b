package command

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// trefoilline table history [--limit N]
//
// Shows the latest versions, the newest first.
func newTableHistory() *cobra.Command {
	var limit int
	c := addOutputFlag(&cobra.Command{
		Use:     "history",
		Short:   "Show the latest versions, the newest first",
		Long:    "Show the latest versions, the newest first: when each was published, by whom, and\nwhich edit made it. Each version costs one read of the store.",
		Example: "  trefoilline table history --limit 5",
		Args:    usageChecked(cobra.NoArgs),
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
	c.Flags().IntVar(&limit, "limit", 20, "how many versions to show; 0 for all")
	return c
}

// versionList is the answer of "table history".
type versionList struct {
	Versions []versionSummary `json:"versions"`
}

// versionSummary is one version without its parts.
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

func (l versionList) textTable() textTable {
	g := textTable{
		header: []string{"VERSION", "PUBLISHED", "BASE", "AUTHOR", "EDIT", "NOTE"},
	}
	for _, v := range l.Versions {
		g.rows = append(g.rows, []string{
			strconv.FormatUint(uint64(v.Version), 10), formatTime(v.Published),
			strconv.FormatUint(uint64(v.Base), 10), v.Author, string(v.Edit), v.Note,
		})
	}
	return g
}
