package command

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"
)

// newStatusCommand returns the command that shows the state of every entry host:
//
//	trefoilline status
func newStatusCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:     "status",
		Short:   "Show the state of every entry host",
		Long:    "Read the state of every entry host: whether it is live, the versions of the table\nand of the keys that it has applied, the age of its copy of the keys, and the number\nof invariant violations that it has counted, which is 0 in a healthy fleet.",
		Example: "  trefoilline status --hosts 10.1.0.4:8080,10.1.0.5:8080",
		Args:    withUsageError(cobra.NoArgs),
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

// fleetStatus is the result of "status".
type fleetStatus struct {
	Hosts []hostStatus `json:"hosts"`
}

func (f fleetStatus) textOutput() textOutput {
	text := textOutput{
		header: []string{"HOST", "ADDRESS", "REGION", "ZONE", "STATE", "TABLE", "KEYS", "KEYS AGE", "VIOLATIONS"},
	}
	for _, s := range f.Hosts {
		if s.Error != "" {
			text.rows = append(text.rows, []string{s.nameOrAddress(), s.Address.String(), "", "", "no response", "", "", "", ""})
			text.linesAfter = append(text.linesAfter, s.nameOrAddress()+": "+s.Error)
			continue
		}
		text.rows = append(text.rows, []string{
			s.Name, s.Address.String(), s.Region, s.Zone, s.State,
			strconv.FormatUint(s.TableVersion, 10), strconv.FormatUint(s.KeysVersion, 10),
			s.KeysAge.Round(time.Millisecond).String(), strconv.FormatUint(s.Violations, 10),
		})
	}
	return text
}
