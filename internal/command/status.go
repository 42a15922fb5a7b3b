package command

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"
)

// trefoilline status
//
// Shows the state of every entry host.
func newStatus() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:     "status",
		Short:   "Show the state of every entry host",
		Long:    "Ask every entry host for its state: whether it is live, the versions of the table\nand the keys in force there, how old its view of the keys is, and the violations\nof invariants that it has counted, which are 0 in a sound fleet.",
		Example: "  trefoilline status --hosts 10.1.0.4:8080,10.1.0.5:8080",
		Args:    usageChecked(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			hosts, err := newHostClient(c)
			if err != nil {
				return err
			}
			return printResult(c, fleetStatus{
				Hosts: hosts.fetchStatuses(c.Context()),
			})
		},
	})
}

// fleetStatus is the answer of "status".
type fleetStatus struct {
	Hosts []hostStatus `json:"hosts"`
}

func (f fleetStatus) textTable() textTable {
	g := textTable{
		header: []string{"HOST", "ADDRESS", "REGION", "ZONE", "STATE", "TABLE", "KEYS", "KEYS AGE", "VIOLATIONS"},
	}
	for _, s := range f.Hosts {
		if s.Error != "" {
			g.rows = append(g.rows, []string{s.nameOrAddress(), s.Address.String(), "", "", "no answer", "", "", "", ""})
			g.linesAfter = append(g.linesAfter, s.nameOrAddress()+": "+s.Error)
			continue
		}
		g.rows = append(g.rows, []string{
			s.Name, s.Address.String(), s.Region, s.Zone, s.State,
			strconv.FormatUint(s.TableVersion, 10), strconv.FormatUint(s.KeysVersion, 10),
			s.KeysAge.Round(time.Millisecond).String(), strconv.FormatUint(s.Violations, 10),
		})
	}
	return g
}
