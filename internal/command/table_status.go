package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// trefoilline table status [--wait]
//
// Says which version was accepted and on how many hosts it is in force.
func newTableStatus() *cobra.Command {
	var wait waiting
	c := addOutput(&cobra.Command{
		Use:   "status",
		Short: "Say which version was accepted and on how many hosts it is in force",
		Long: `Say which version was accepted last, and on how many entry hosts it is in force,
naming those where it is not. With --wait, returns once it is in force on every
entry host.`,
		Example: "  trefoilline table status --wait",
		Args:    arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := openStore(c)
			if err != nil {
				return err
			}
			manifests, err := table.History(c.Context(), store, 1)
			if err != nil {
				return err
			}
			return showSpread(c, manifests[0], wait)
		},
	})
	wait.add(c)
	return c
}

func showSpread(c *cobra.Command, newest table.Manifest, wait waiting) error {
	if wait.wanted {
		return wait.until(c, fmt.Sprintf("version %d", newest.Version), func(s hostStatus) bool {
			return s.TableVersion >= uint64(newest.Version)
		})
	}
	hosts, err := openHosts(c)
	if err != nil {
		return err
	}
	statuses := hosts.statuses(c.Context())
	laggards := laggardsOf(statuses, func(s hostStatus) bool { return s.TableVersion >= uint64(newest.Version) })
	return show(c, spread{
		Accepted:  newest.Version,
		Published: newest.PublishedAt,
		Author:    newest.Author,
		Note:      newest.Note,
		Hosts:     len(statuses),
		InForce:   len(statuses) - len(laggards),
		Laggards:  laggards,
	})
}

// spread is the answer of "table status".
type spread struct {
	Accepted  table.Version `json:"accepted"`
	Published time.Time     `json:"published"`
	Author    string        `json:"author"`
	Note      string        `json:"note"`
	Hosts     int           `json:"hosts"`
	InForce   int           `json:"in-force"`
	Laggards  []string      `json:"laggards"`
}

func (s spread) grid() grid {
	g := grid{
		before: []string{
			fmt.Sprintf("version %d accepted at %s", s.Accepted, moment(s.Published)),
			fmt.Sprintf("in force on %d of %d hosts", s.InForce, s.Hosts),
		},
	}
	if len(s.Laggards) > 0 {
		g.after = []string{"not on: " + strings.Join(s.Laggards, ", ")}
	}
	return g
}
