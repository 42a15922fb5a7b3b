package admission_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/header"
)

// TestLostHostInvalidatesOnlyItsTickets checks that losing an entry host affects
// only the tickets that it issued. A payment with one of them has an unknown
// outcome with the reason IssuerGone. A caller that had not sent the ticket
// before can infer that the payment was not run and send it with a new ticket.
func TestLostHostInvalidatesOnlyItsTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false)
		defer c.stop()
		client := c.newClient()
		defer client.CloseIdleConnections()
		const perHost = 50
		var tickets []http.Header
		for _, e := range c.entryHosts {
			issued := e.deduplicator.Registry.Issue("", perHost)
			for number := range perHost {
				tickets = append(tickets, http.Header{
					header.Ticket: {issued.Ticket(number)},
				})
			}
		}
		lost := c.entryHosts[0]
		lost.kill()
		// Requests to the lost host go to another one.
		c.entryHosts[0] = c.entryHosts[1]
		renewed := c.entryHosts[1].deduplicator.Registry.Issue("", perHost)
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
		// The first two elements are the same host; stop ends it once.
		c.entryHosts = c.entryHosts[1:]
	})
}
