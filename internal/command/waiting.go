package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

// pollInterval is the pause between two polls of the hosts.
const pollInterval = 250 * time.Millisecond

// waitOptions holds the flags that say whether, and how long, a command waits until
// every entry host has applied a change.
type waitOptions struct {
	enabled bool
	timeout time.Duration
}

func (w *waitOptions) addFlags(c *cobra.Command) {
	c.Flags().BoolVar(&w.enabled, "wait", false, "wait until every entry host has applied the change")
	c.Flags().DurationVar(&w.timeout, "wait-limit", 30*time.Second, "maximum time to wait")
}

// waitForHosts polls the entry hosts until isApplied is true for every one of them. A
// host that does not respond counts as pending, because it may still be serving
// requests. It returns a NotAppliedError after the wait limit or when the context
// ends.
func (w *waitOptions) waitForHosts(c *cobra.Command, change string, isApplied func(hostStatus) bool) error {
	hosts, err := newHostClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), w.timeout)
	defer cancel()
	for {
		statuses := hosts.fetchStatuses(c.Context())
		pending := pendingHosts(statuses, isApplied)
		if len(pending) == 0 {
			fmt.Fprintf(c.OutOrStdout(), "%s is applied on %d of %d hosts\n", change, len(statuses), len(statuses))
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotAppliedError{
				Change:       change,
				PendingHosts: pending,
			}
		case <-time.After(pollInterval):
		}
	}
}

// pendingHosts returns the names of the hosts that did not respond or have not applied
// the change.
func pendingHosts(statuses []hostStatus, isApplied func(hostStatus) bool) []string {
	var pending []string
	for _, s := range statuses {
		if s.Error != "" || !isApplied(s) {
			pending = append(pending, s.nameOrAddress())
		}
	}
	return pending
}
