package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// newTableStatusCommand returns the command that shows the current version of the table and the number
// of hosts that have applied it:
//
//	trefoilline table status [--wait]
func newTableStatusCommand() *cobra.Command {
	var wait waitOptions
	c := addOutputFlag(&cobra.Command{
		Use:   "status",
		Short: "Show the current version of the table and how many hosts have applied it",
		Long: `Show the version of the table that was published last, the number of entry hosts
that have applied it, and the names of those that have not. With --wait, the command
returns when every entry host has applied it, and prints one line of text whatever
the output format.`,
		Example: "  trefoilline table status --wait",
		Args:    withUsageError(cobra.NoArgs),
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

func showRollout(c *cobra.Command, current table.Manifest, wait waitOptions) error {
	if wait.enabled {
		return wait.waitForHosts(c, fmt.Sprintf("version %d", current.Version), func(s hostStatus) bool {
			return s.TableVersion >= uint64(current.Version)
		})
	}
	hosts, err := newHostClient(c)
	if err != nil {
		return err
	}
	statuses := hosts.fetchStatuses(c.Context())
	pending := pendingHosts(statuses, func(s hostStatus) bool { return s.TableVersion >= uint64(current.Version) })
	return printResult(c, rolloutStatus{
		Version:      current.Version,
		Published:    current.PublishedAt,
		Author:       current.Author,
		Note:         current.Note,
		HostCount:    len(statuses),
		AppliedHosts: len(statuses) - len(pending),
		PendingHosts: pending,
	})
}

// rolloutStatus is the result of "table status".
type rolloutStatus struct {
	Version      table.Version `json:"accepted"`
	Published    time.Time     `json:"published"`
	Author       string        `json:"author"`
	Note         string        `json:"note"`
	HostCount    int           `json:"hosts"`
	AppliedHosts int           `json:"in-force"`
	PendingHosts []string      `json:"laggards"`
}

func (s rolloutStatus) textOutput() textOutput {
	text := textOutput{
		linesBefore: []string{
			fmt.Sprintf("version %d published at %s", s.Version, formatTime(s.Published)),
			fmt.Sprintf("applied on %d of %d hosts", s.AppliedHosts, s.HostCount),
		},
	}
	if len(s.PendingHosts) > 0 {
		text.linesAfter = []string{"not applied on: " + strings.Join(s.PendingHosts, ", ")}
	}
	return text
}
