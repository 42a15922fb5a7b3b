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
	c := addOutput(&cobra.Command{
		Use:     "history",
		Short:   "Show the latest versions, the newest first",
		Long:    "Show the latest versions, the newest first: when each was published, by whom, and\nwhich edit made it. Each version costs one read of the store.",
		Example: "  trefoilline table history --limit 5",
		Args:    arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := openStore(c)
			if err != nil {
				return err
			}
			manifests, err := table.History(c.Context(), store, max(limit, 0))
			if err != nil {
				return err
			}
			return show(c, listVersions(manifests))
		},
	})
	c.Flags().IntVar(&limit, "limit", 20, "how many versions to show; 0 for all")
	return c
}

// versionList is the answer of "table history".
type versionList struct {
	Versions []versionLine `json:"versions"`
}

// versionLine is one version without its parts.
type versionLine struct {
	Version   table.Version `json:"version"`
	Base      table.Version `json:"base"`
	Edit      table.EditID  `json:"edit"`
	Author    string        `json:"author"`
	Note      string        `json:"note"`
	Published time.Time     `json:"published"`
	Blocks    int           `json:"blocks"`
}

func listVersions(manifests []table.Manifest) versionList {
	list := versionList{
		Versions: []versionLine{},
	}
	for _, m := range manifests {
		list.Versions = append(list.Versions, versionLine{
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

func (l versionList) grid() grid {
	g := grid{
		header: []string{"VERSION", "PUBLISHED", "BASE", "AUTHOR", "EDIT", "NOTE"},
	}
	for _, v := range l.Versions {
		g.rows = append(g.rows, []string{
			strconv.FormatUint(uint64(v.Version), 10), moment(v.Published),
			strconv.FormatUint(uint64(v.Base), 10), v.Author, string(v.Edit), v.Note,
		})
	}
	return g
}
