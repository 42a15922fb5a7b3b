package admission_test

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/admission"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/ticket"
)

// TestIdempotentRequestRunsEachTimeItIsSent checks that an idempotent request is
// not rejected as a duplicate because it carries a ticket or an idempotency key.
// The caller needs the response, not an error that says that the request was
// sent before.
func TestIdempotentRequestRunsEachTimeItIsSent(t *testing.T) {
	memory := &store.Memory{}
	memory.SetFaults(store.Faults{
		Down: true,
	})
	deduplicator := &admission.Deduplicator{
		Registry: &ticket.Registry{
			Host: netip.MustParseAddrPort("10.0.0.1:80"),
		},
		IdempotencyKeys: &ticket.IdempotencyKeys{
			Store: memory,
		},
	}
	for name, value := range map[string]string{
		header.Ticket:         deduplicator.Registry.Issue("", 1).Ticket(0),
		header.IdempotencyKey: "order-1",
	} {
		runs := 0
		for range 2 {
			request := &exchange.Request{
				ID:  "r1",
				URL: &url.URL{},
				Header: http.Header{
					name: {value},
				},
				Idempotent: true,
			}
			deduplicator.Serve(t.Context(), request, "", func(context.Context) exchange.Outcome {
				runs++
				return &exchange.Response{}
			})
			require.Equal(t, "r1", request.ID)
			require.Implements(t, (*exchange.NotRun)(nil), admission.Reject(request, "withdrawn"))
		}
		require.Equal(t, 2, runs, name)
	}
}

// TestRejectWithIdempotencyKeyIsUnknown checks that the rejection of a request
// with an idempotency key has an unknown outcome, because an earlier attempt may
// have run.
func TestRejectWithIdempotencyKeyIsUnknown(t *testing.T) {
	request := &exchange.Request{
		Header: http.Header{
			header.IdempotencyKey: {"order-1"},
		},
	}
	require.IsType(t, &exchange.Unknown{}, admission.Reject(request, "withdrawn"))
}

// TestForgedTicketIsNotForwarded checks that a request and its API key are not
// forwarded to the address in a forged ticket, here that of a backend server.
func TestForgedTicketIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false)
		defer c.stop()
		client := c.newClient()
		defer client.CloseIdleConnections()
		forger := ticket.Registry{
			Host: backendAddress(0),
		}
		require.False(t, c.pay(client, http.Header{
			header.Ticket: {forger.Issue("", 1).Ticket(0)},
			header.APIKey: {"tk-4f9AbCd0e1Z2"},
		}))
		require.Empty(t, c.backends[0].RequestLog().Entries)
	})
}
