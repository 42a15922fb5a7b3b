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

// TestIdempotentRequestRunsEachTimeItIsSent guards against idempotent requests that are
// refused as duplicates because they carry a ticket or an idempotency key. The caller
// wants the response again, not the news that it was sent before.
func TestIdempotentRequestRunsEachTimeItIsSent(t *testing.T) {
	memory := &store.Memory{}
	memory.SetFaults(store.Faults{
		Down: true,
	})
	controller := &admission.Deduplicator{
		Registry: &ticket.Registry{
			Host: netip.MustParseAddrPort("10.0.0.1:80"),
		},
		IdempotencyKeys: &ticket.IdempotencyKeys{
			Store: memory,
		},
	}
	for name, value := range map[string]string{
		header.Ticket:         controller.Registry.Issue("", 1).Ticket(0),
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
			controller.Serve(t.Context(), request, "", func(context.Context) exchange.Outcome {
				runs++
				return &exchange.Response{}
			})
			require.Equal(t, "r1", request.ID)
			require.Implements(t, (*exchange.NotRun)(nil), admission.Reject(request, "withdrawn"))
		}
		require.Equal(t, 2, runs, name)
	}
}

// TestRejectWithIdempotencyKeyIsUnknown guards against a refusal that tells the caller
// that a payment was not run when an earlier attempt may have run.
func TestRejectWithIdempotencyKeyIsUnknown(t *testing.T) {
	request := &exchange.Request{
		Header: http.Header{
			header.IdempotencyKey: {"order-1"},
		},
	}
	require.IsType(t, &exchange.Unknown{}, admission.Reject(request, "withdrawn"))
}

// TestForgedTicketIsNotForwarded guards against a request, with its API key, that is
// forwarded to an address from a forged ticket. Here a caller forges a ticket that
// names a backend server as its issuer.
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
		require.Empty(t, c.backends[0].Record().Entries)
	})
}
