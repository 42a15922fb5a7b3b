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
	validKey            = "good"
	withdrawnKey        = "withdrawn"
	keyWhileUnconfirmed = "stale"
)

// fakeKeyVerifier verifies a few fixed keys.
type fakeKeyVerifier struct{}

func (fakeKeyVerifier) Verify(text string) (string, error) {
	switch text {
	case validKey:
		return "school", nil
	case withdrawnKey:
		return "", &team.WithdrawnKeyError{
			Team: "school",
		}
	case keyWhileUnconfirmed:
		return "", &entry.KeysUnconfirmedError{
			Age: time.Minute,
		}
	case "":
		return "", &team.NoKeyError{}
	}
	return "", &team.UnknownKeyError{}
}

// testHost is an entry host with one backend server and no other entry hosts.
type testHost struct {
	handler *entry.Handler
	server  *standin.Server
	// serverURL is the URL of the backend server, and hostURL that of the entry host.
	serverURL string
	hostURL   string
}

// startHost starts a backend server and an entry host. It returns once the entry host has
// tokens for the team's rate limit.
func startHost(t testing.TB) *testHost {
	server := &standin.Server{
		Slots: 64,
	}
	backendHTTP := httptest.NewServer(server)
	t.Cleanup(backendHTTP.Close)
	limiter := &share.Limiter{
		Host:        "accra-1",
		SoleProcess: true,
	}
	syncer := &share.AllocationSyncer{
		Store:   &store.Memory{},
		Limiter: limiter,
	}
	limiter.SetLimits([]share.Limit{
		{
			Name: entry.TeamLimitName("school"),
			Kind: share.Rate{
				PerSecond: 1e6,
				Burst:     1e6,
			},
		},
	})
	limiter.SetLiveProcesses([]share.ProcessID{
		limiter.ProcessID(),
	})
	require.Eventually(t, func() bool {
		require.NoError(t, syncer.Refresh(t.Context()))
		limiter.Tick()
		return limiter.LimitStatus(entry.TeamLimitName("school")).Available > 1
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
			Address: netip.MustParseAddrPort(backendHTTP.Listener.Addr().String()),
		},
	})
	client := &exchange.Client{}
	h := &entry.Handler{
		Host:        "accra-1",
		Region:      "accra",
		KeyVerifier: fakeKeyVerifier{},
		Pool:        pool,
		Router:      router,
		Client:      client,
		RateLimiter: limiter,
		Metrics:     &observe.Metrics{},
		Admission: &admission.Deduplicator{
			Registry: &ticket.Registry{},
			Send:     client.Send,
		},
	}
	h.SetTable(&current)
	entryHTTP := httptest.NewServer(h)
	t.Cleanup(entryHTTP.Close)
	return &testHost{
		handler:   h,
		server:    server,
		serverURL: backendHTTP.URL,
		hostURL:   entryHTTP.URL,
	}
}

func newRoute(name string, access table.Access, policy table.RetryPolicy) table.Route {
	return table.Route{
		Name:        name,
		Path:        "/" + name,
		Service:     "storefront",
		Access:      access,
		RetryPolicy: policy,
		Weights: []table.Weight{
			{
				Region: "accra",
				Weight: 1,
			},
		},
	}
}

func send(t testing.TB, method, url, key string) *http.Response {
	request, err := http.NewRequest(method, url, strings.NewReader(""))
	require.NoError(t, err)
	request.Header.Set(header.APIKey, key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	return response
}

// TestRejectedRequestsGetReasonAndDoNotRun checks the status and the reason of each
// rejection, and that the backend server has run none of the rejected requests. A
// request that was run must not be reported as not run.
func TestRejectedRequestsGetReasonAndDoNotRun(t *testing.T) {
	h := startHost(t)
	requireRejected := func(path, key string, status int, reason header.Reason) {
		response := send(t, http.MethodGet, h.hostURL+path, key)
		require.Equal(t, status, response.StatusCode, path)
		require.Equal(t, string(reason), response.Header.Get(header.NotRun), path)
	}
	requireRejected("/nowhere", validKey, http.StatusNotFound, entry.NoRoute)
	requireRejected("/stocktaking", validKey, http.StatusNotFound, entry.NoRoute)
	requireRejected("/stock", "", http.StatusUnauthorized, entry.NoKey)
	requireRejected("/stock", "other", http.StatusUnauthorized, entry.UnknownKey)
	requireRejected("/stock", withdrawnKey, http.StatusUnauthorized, entry.WithdrawnKey)
	requireRejected("/stock", keyWhileUnconfirmed, http.StatusServiceUnavailable, entry.KeysUnconfirmed)
	require.Zero(t, h.server.RequestLog().TotalRuns)
	require.Equal(t, http.StatusOK, send(t, http.MethodGet, h.hostURL+"/stock/chalk", validKey).StatusCode)
	require.Equal(t, http.StatusOK, send(t, http.MethodPost, h.hostURL+"/orders", validKey).StatusCode)
	require.Equal(t, http.StatusOK, send(t, http.MethodGet, h.hostURL+"/packs", "").StatusCode)
	require.Equal(t, 3, h.server.RequestLog().TotalRuns)
	require.Zero(t, h.handler.RunningRequests())
}

// BenchmarkForward sends requests through an entry host, and for comparison directly to
// the backend server.
func BenchmarkForward(b *testing.B) {
	h := startHost(b)
	urls := map[string]string{
		"direct": h.serverURL,
		"entry":  h.hostURL,
	}
	for name, url := range urls {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				send(b, http.MethodGet, url+"/stock", validKey)
			}
		})
	}
}
