package entry_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/admission"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	standin "trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
	"trefoilline.example/trefoilline/ticket"
)

const (
	goodKey      = "good"
	withdrawnKey = "withdrawn"
	staleKey     = "stale"
)

// keyring stands in for the view of the keys.
type keyring struct{}

func (keyring) Verify(text string) (string, error) {
	switch text {
	case goodKey:
		return "school", nil
	case withdrawnKey:
		return "", &team.WithdrawnKeyError{
			Team: "school",
		}
	case staleKey:
		return "", &entry.KeysUnconfirmedError{
			Age: time.Minute,
		}
	case "":
		return "", &team.NoKeyError{}
	}
	return "", &team.UnknownKeyError{}
}

// host is one entry host before one backend server.
type host struct {
	handler *entry.Handler
	server  *standin.Server
	// direct is the backend server's own address.
	direct  string
	address string
}

func newHost(t testing.TB) *host {
	server := &standin.Server{
		Slots: 64,
	}
	behind := httptest.NewServer(server)
	t.Cleanup(behind.Close)
	holder := &share.Limiter{
		Host:        "accra-1",
		SoleProcess: true,
	}
	keeper := &share.AllocationSyncer{
		Store:   &store.Memory{},
		Limiter: holder,
	}
	holder.SetLimits([]share.Limit{
		{
			Name: entry.TeamLimit("school"),
			Kind: share.Rate{
				PerSecond: 1e6,
				Burst:     1e6,
			},
		},
	})
	holder.SetLiveProcesses([]share.ProcessID{
		holder.ProcessID(),
	})
	require.Eventually(t, func() bool {
		require.NoError(t, keeper.Refresh(t.Context()))
		holder.Tick()
		return holder.LimitStatus(entry.TeamLimit("school")).Available > 1
	}, time.Minute, time.Millisecond)
	current := table.Table{
		Version: 1,
		Routes: []table.Route{
			newRoute("stock", table.KeyRequired, table.Idempotent),
			newRoute("orders", table.KeyRequired, table.AtMostOnce),
			newRoute("packs", table.Public, table.Idempotent),
		},
	}
	router := &steer.Router{
		Region: "accra",
	}
	router.SetTable(current)
	plan, _ := steer.NextPlan(steer.Plan{}, current, steer.Measurements{}, time.Now())
	router.SetPlan(plan)
	pool := &backend.Pool{}
	pool.SetMachines([]objectstore.Machine{
		{
			Name:    "server",
			Kind:    objectstore.BackendServer,
			Region:  "accra",
			Service: "storefront",
			Slots:   64,
			State:   objectstore.Live,
			Address: netip.MustParseAddrPort(behind.Listener.Addr().String()),
		},
	})
	client := &exchange.Client{}
	h := &entry.Handler{
		Host:     "accra-1",
		Region:   "accra",
		Keys:     keyring{},
		Pool:     pool,
		Router:   router,
		Client:   client,
		Limits:   holder,
		Measures: &observe.Metrics{},
		Desk: &admission.Desk{
			Register: &ticket.Register{},
			Send:     client.Send,
		},
	}
	h.SetTable(&current)
	front := httptest.NewServer(h)
	t.Cleanup(front.Close)
	return &host{
		handler: h,
		server:  server,
		direct:  behind.URL,
		address: front.URL,
	}
}

func newRoute(name string, access table.Access, repeat table.RetryPolicy) table.Route {
	return table.Route{
		Name:        name,
		Path:        "/" + name,
		Service:     "storefront",
		Access:      access,
		RetryPolicy: repeat,
		Weights: []table.Weight{
			{
				Region: "accra",
				Weight: 1,
			},
		},
	}
}

func send(t testing.TB, method, target, key string) *http.Response {
	request, err := http.NewRequest(method, target, strings.NewReader(""))
	require.NoError(t, err)
	request.Header.Set(header.APIKey, key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	return response
}

// TestRefusalsAreTrueAndTyped holds each refusal against what the backend server
// ran.
func TestRefusalsAreTrueAndTyped(t *testing.T) {
	h := newHost(t)
	requireRefused := func(path, key string, status int, reason header.Reason) {
		response := send(t, http.MethodGet, h.address+path, key)
		require.Equal(t, status, response.StatusCode, path)
		require.Equal(t, string(reason), response.Header.Get(header.NotRun), path)
	}
	requireRefused("/nowhere", goodKey, http.StatusNotFound, entry.NoRoute)
	requireRefused("/stocktaking", goodKey, http.StatusNotFound, entry.NoRoute)
	requireRefused("/stock", "", http.StatusUnauthorized, entry.NoKey)
	requireRefused("/stock", "other", http.StatusUnauthorized, entry.UnknownKey)
	requireRefused("/stock", withdrawnKey, http.StatusUnauthorized, entry.WithdrawnKey)
	requireRefused("/stock", staleKey, http.StatusServiceUnavailable, entry.KeysUnconfirmed)
	require.Zero(t, h.server.Record().Total)
	require.Equal(t, http.StatusOK, send(t, http.MethodGet, h.address+"/stock/chalk", goodKey).StatusCode)
	require.Equal(t, http.StatusOK, send(t, http.MethodPost, h.address+"/orders", goodKey).StatusCode)
	require.Equal(t, http.StatusOK, send(t, http.MethodGet, h.address+"/packs", "").StatusCode)
	require.Equal(t, 3, h.server.Record().Total)
	require.Zero(t, h.handler.Running())
}

// BenchmarkForward sends requests through an entry host, and straight to the
// backend server.
func BenchmarkForward(b *testing.B) {
	h := newHost(b)
	targets := map[string]string{
		"direct": h.direct,
		"entry":  h.address,
	}
	for name, target := range targets {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				send(b, http.MethodGet, target+"/stock", goodKey)
			}
		})
	}
}
