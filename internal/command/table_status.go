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
	var wait waitOptions
	c := addOutputFlag(&cobra.Command{
		Use:   "status",
		Short: "Say which version was accepted and on how many hosts it is in force",
		Long: `Say which version was accepted last, and on how many entry hosts it is in force,
naming those where it is not. With --wait, returns once it is in force on every
entry host.`,
		Example: "  trefoilline table status --wait",
		Args:    usageChecked(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := openStore(c)
			if err != nil {
				return err
			}
			manifests, err := table.History(c.Context(), store, 1)
			if err != nil {
				return err
			}
			return showRollout(c, manifests[0], wait)
		},
	})
	wait.addFlags(c)
	return c
}

func showRollout(c *cobra.Command, newest table.Manifest, wait waitOptions) error {
	if wait.enabled {
		return wait.waitForHosts(c, fmt.Sprintf("version %d", newest.Version), func(s hostStatus) bool {
			return s.TableVersion >= uint64(newest.Version)
		})
	}
	hosts, err := newHostClient(c)
	if err != nil {
		return err
	}
	statuses := hosts.fetchStatuses(c.Context())
	laggards := pendingHosts(statuses, func(s hostStatus) bool { return s.TableVersion >= uint64(newest.Version) })
	return printResult(c, rolloutStatus{
		Version:  newest.Version,
		Published: newest.PublishedAt,
		Author:    newest.Author,
		Note:      newest.Note,
		HostCount:     len(statuses),
		AppliedHosts:   len(statuses) - len(laggards),
		PendingHosts:  laggards,
	})
}

// rolloutStatus is the answer of "table status".
type rolloutStatus struct {
	Version  table.Version `json:"accepted"`
	Published time.Time     `json:"published"`
	Author    string        `json:"author"`
	Note      string        `json:"note"`
	HostCount     int           `json:"hosts"`
	AppliedHosts   int           `json:"in-force"`
	PendingHosts  []string      `json:"laggards"`
}

func (s rolloutStatus) textTable() textTable {
	g := textTable{
		linesBefore: []string{
			fmt.Sprintf("version %d accepted at %s", s.Version, formatTime(s.Published)),
			fmt.Sprintf("in force on %d of %d hosts", s.AppliedHosts, s.HostCount),
		},
	}
	if len(s.PendingHosts) > 0 {
		g.linesAfter = []string{"not on: " + strings.Join(s.PendingHosts, ", ")}
	}
	return g
}
