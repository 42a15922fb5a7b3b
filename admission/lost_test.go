package admission_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/header"
)

// TestLostHostInvalidatesOnlyItsTickets guards against the loss of an entry host that
// affects the tickets of others. Payments with the tickets of the lost host have unknown
// outcomes, although nothing ran. From the reason, a caller that sent the ticket for the
// first time knows that nothing ran, and uses another ticket.
func TestLostHostInvalidatesOnlyItsTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false)
		defer c.stop()
		client := c.newClient()
		defer client.CloseIdleConnections()
		const perHost = 50
		var tickets []http.Header
		for _, e := range c.entryHosts {
			issued := e.controller.Registry.Issue("", perHost)
			for number := range perHost {
				tickets = append(tickets, http.Header{
					header.Ticket: {issued.Ticket(number)},
				})
			}
		}
		lost := c.entryHosts[0]
		lost.kill()
		c.entryHosts[0] = c.entryHosts[1]
		renewed := c.entryHosts[1].controller.Registry.Issue("", perHost)
		for number, sent := range tickets {
			if c.pay(client, sent) {
				continue
			}
			require.Less(t, number, perHost, "only tickets of the lost host may fail")
			require.True(t, c.pay(client, http.Header{
				header.Ticket: {renewed.Ticket(number)},
			}))
		}
		t.Logf("%d payments, one of %d hosts lost: %+v", len(tickets), hosts, c.counts)
		require.Equal(t, perHost, c.unknown)
		require.Equal(t, len(tickets), c.answered)
		require.Zero(t, c.countReruns())
		c.entryHosts = c.entryHosts[1:]
	})
}
