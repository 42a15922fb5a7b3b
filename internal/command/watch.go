package command

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

// clearScreen moves to the top left and clears what is below.
const clearScreen = "\x1b[H\x1b[J"

// trefoilline watch [--interval DURATION] [--rounds N]
//
// Shows the fleet and redraws it until interrupted.
func newWatch() *cobra.Command {
	var interval time.Duration
	var rounds int
	c := &cobra.Command{
		Use:   "watch",
		Short: "Show the fleet and redraw it until interrupted",
		Long: `Show the fleet and redraw it until interrupted: hosts and versions, backend
servers' slots by region, the weights of routes in the table and in effect, and
each team's requests and refusals per second since the drawing before.`,
		Example: "  trefoilline watch --interval 2s",
		Args:    arguments(cobra.NoArgs),
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
	c.Flags().DurationVar(&interval, "interval", 2*time.Second, "pause between two drawings")
	c.Flags().IntVar(&rounds, "rounds", 0, "how many drawings; 0 for no end")
	return c
}

func watchFleet(c *cobra.Command, interval time.Duration, rounds int) error {
	hosts, err := openHosts(c)
	if err != nil {
		return err
	}
	var before fleetSample
	for round := 1; ; round++ {
		now := sampleFleet(time.Now(), hosts.statuses(c.Context()))
		var screen bytes.Buffer
		fmt.Fprintf(&screen, "%s%s\n\n", clearScreen, now.at.UTC().Format(time.RFC3339))
		if err := drawFleet(&screen, before, now); err != nil {
			return err
		}
		if _, err := c.OutOrStdout().Write(screen.Bytes()); err != nil {
			return outputError(err)
		}
		if round == rounds || !pause(c.Context(), interval) {
			return nil
		}
		before = now
	}
}

// pause waits and says whether to go on.
func pause(ctx context.Context, interval time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(interval):
		return true
	}
}
