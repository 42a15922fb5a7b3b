package admission_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/header"
)

// TestLostHostCostsOnlyItsUnusedNames loses a host for good. Payments under its
// names are unknown, though nothing ran; a caller that never sent the name knows
// that from the reason, and takes another.
func TestLostHostCostsOnlyItsUnusedNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, false)
		defer w.stop()
		client := w.newClient()
		defer client.CloseIdleConnections()
		const perHost = 50
		var names []http.Header
		for _, e := range w.entries {
			issued := e.desk.Registry.Issue("", perHost)
			for number := range perHost {
				names = append(names, http.Header{
					header.Ticket: {issued.Ticket(number)},
				})
			}
		}
		lost := w.entries[0]
		lost.kill()
		w.entries[0] = w.entries[1]
		renewed := w.entries[1].desk.Registry.Issue("", perHost)
		for number, name := range names {
			if w.pay(client, name) {
				continue
			}
			require.Less(t, number, perHost, "only the names of the lost host")
			require.True(t, w.pay(client, http.Header{
				header.Ticket: {renewed.Ticket(number)},
			}))
		}
		t.Logf("%d payments, one of %d hosts lost: %+v", len(names), hosts, w.figures)
		require.Equal(t, perHost, w.unknown)
		require.Equal(t, len(names), w.answered)
		require.Zero(t, w.countReruns())
		w.entries = w.entries[1:]
	})
}
