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

// TestIdempotentRequestRunsEachTimeItIsSent has a name on a request that needs
// none: its caller wants the answer again, not that it was answered.
func TestIdempotentRequestRunsEachTimeItIsSent(t *testing.T) {
	memory := &store.Memory{}
	memory.SetFaults(store.Faults{
		Down: true,
	})
	desk := &admission.Deduplicator{
		Registry: &ticket.Registry{
			Host: netip.MustParseAddrPort("10.0.0.1:80"),
		},
		IdempotencyKeys: &ticket.IdempotencyKeys{
			Store: memory,
		},
	}
	for name, value := range map[string]string{
		header.Ticket:         desk.Registry.Issue("", 1).Ticket(0),
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
			desk.Serve(t.Context(), request, "", func(context.Context) exchange.Outcome {
				runs++
				return &exchange.Response{}
			})
			require.Equal(t, "r1", request.ID)
			require.Implements(t, (*exchange.NotRun)(nil), admission.Reject(request, "withdrawn"))
		}
		require.Equal(t, 2, runs, name)
	}
}

// TestNamedRefusalDoesNotSayNotRun refuses a payment that may have run before.
func TestNamedRefusalDoesNotSayNotRun(t *testing.T) {
	request := &exchange.Request{
		Header: http.Header{
			header.IdempotencyKey: {"order-1"},
		},
	}
	require.IsType(t, &exchange.Unknown{}, admission.Reject(request, "withdrawn"))
}

// TestForgedIssuerGetsNothing has a caller name a backend server as the issuer
// of its ticket: the request, with its key, must not be passed there.
func TestForgedIssuerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, false)
		defer w.stop()
		client := w.newClient()
		defer client.CloseIdleConnections()
		forger := ticket.Registry{
			Host: backendAddress(0),
		}
		require.False(t, w.pay(client, http.Header{
			header.Ticket: {forger.Issue("", 1).Ticket(0)},
			header.APIKey: {"tk-4f9AbCd0e1Z2"},
		}))
		require.Empty(t, w.backends[0].RequestLog().Entries)
	})
}
