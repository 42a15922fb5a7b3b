package command

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

// clearScreen is the terminal sequence that moves the cursor to the top left and
// clears the screen.
const clearScreen = "\x1b[H\x1b[J"

// newWatchCommand returns the command that shows the state of the fleet and refreshes it
// until interrupted:
//
//	trefoilline watch [--interval DURATION] [--rounds N]
func newWatchCommand() *cobra.Command {
	var interval time.Duration
	var rounds int
	c := &cobra.Command{
		Use:   "watch",
		Short: "Show the state of the fleet and refresh it until interrupted",
		Long: `Show the state of the fleet and refresh it until interrupted: the hosts and their
versions, the slots of backend servers in each region, the configured and the
effective weights of routes, and the requests and refusals of each team per second
since the previous refresh.`,
		Example: "  trefoilline watch --interval 2s",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if interval <= 0 {
				return &InvalidArgumentError{
					Name:     "interval",
					Value:    interval.String(),
					Accepted: "a duration above zero, such as 2s",
				}
			}
			return watchFleet(c, interval, rounds)
		},
	}
	c.Flags().DurationVar(&interval, "interval", 2*time.Second, "pause between two refreshes")
	c.Flags().IntVar(&rounds, "rounds", 0, "number of refreshes; 0 means no limit")
	return c
}

func watchFleet(c *cobra.Command, interval time.Duration, rounds int) error {
	hosts, err := newHostClient(c)
	if err != nil {
		return err
	}
	var previous fleetSnapshot
	for round := 1; ; round++ {
		current := newFleetSnapshot(time.Now(), hosts.fetchStatuses(c.Context()))
		var screen bytes.Buffer
		fmt.Fprintf(&screen, "%s%s\n\n", clearScreen, current.at.UTC().Format(time.RFC3339))
		if err := writeFleet(&screen, previous, current); err != nil {
			return err
		}
		if _, err := c.OutOrStdout().Write(screen.Bytes()); err != nil {
			return wrapOutputError(err)
		}
		if round == rounds || !waitInterval(c.Context(), interval) {
			return nil
		}
		previous = current
	}
}

// waitInterval waits for the interval. It returns false if the context ends first.
func waitInterval(ctx context.Context, interval time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(interval):
		return true
	}
}
