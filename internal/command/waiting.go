package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

// pollInterval is the pause between two rounds of asking the hosts.
const pollInterval = 250 * time.Millisecond

// waitOptions is whether, and how long, a command waits for a change to be in force
// on every entry host.
type waitOptions struct {
	enabled bool
	timeout  time.Duration
}

func (w *waitOptions) addFlags(c *cobra.Command) {
	c.Flags().BoolVar(&w.enabled, "wait", false, "return once it is in force on every entry host")
	c.Flags().DurationVar(&w.timeout, "wait-limit", 30*time.Second, "how long to wait at most")
}

// waitForHosts waits waitForHosts the condition holds on every entry host. A host that does
// not answer is waited for too: it may be serving.
func (w *waitOptions) waitForHosts(c *cobra.Command, what string, holds func(hostStatus) bool) error {
	hosts, err := newHostClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), w.timeout)
	defer cancel()
	for {
		statuses := hosts.fetchStatuses(c.Context())
		laggards := pendingHosts(statuses, holds)
		if len(laggards) == 0 {
			fmt.Fprintf(c.OutOrStdout(), "%s is in force on %d of %d hosts\n", what, len(statuses), len(statuses))
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotAppliedError{
				Change:       what,
				PendingHosts: laggards,
			}
		case <-time.After(pollInterval):
		}
	}
}

func pendingHosts(statuses []hostStatus, holds func(hostStatus) bool) []string {
	var laggards []string
	for _, s := range statuses {
		if s.Error != "" || !holds(s) {
			laggards = append(laggards, s.nameOrAddress())
		}
	}
	return laggards
}
