package retry_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/retry"
)

// serverGroup holds fake backend servers and the client that sends requests to
// them.
type serverGroup struct {
	servers   []*backend.Server
	addresses []netip.AddrPort
	client    *exchange.Client
}

func newServerGroup(t *testing.T, count int) *serverGroup {
	t.Helper()
	g := &serverGroup{
		client: &exchange.Client{
			OnViolation: func(v exchange.Violation) { t.Errorf("violation: %+v", v) },
		},
	}
	t.Cleanup(g.client.Close)
	for range count {
		server := &backend.Server{}
		listener := httptest.NewServer(server)
		t.Cleanup(listener.Close)
		g.servers = append(g.servers, server)
		g.addresses = append(g.addresses, netip.MustParseAddrPort(listener.Listener.Addr().String()))
	}
	return g
}

// pickInOrder picks the servers one after the other.
func (g *serverGroup) pickInOrder(tried []netip.AddrPort) (netip.AddrPort, bool) {
	for _, address := range g.addresses {
		if !slices.Contains(tried, address) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

func (g *serverGroup) setFaults(faults backend.Faults) {
	for _, server := range g.servers {
		server.SetFaults(faults)
	}
}

// totalRequests returns how many requests all servers together received.
func (g *serverGroup) totalRequests() int {
	total := 0
	for _, server := range g.servers {
		total += server.RequestLog().TotalRuns
	}
	return total
}

func newRequest(id, target string, idempotent bool) *exchange.Request {
	parsed, err := url.Parse(target)
	if err != nil {
		panic(err)
	}
	return &exchange.Request{
		ID:         id,
		Method:     http.MethodPost,
		URL:        parsed,
		Idempotent: idempotent,
	}
}

// sendAndClose sends the request and closes the response, if there is one.
func sendAndClose(t *testing.T, s *retry.Sender, request *exchange.Request, pick retry.PickFunc) exchange.Outcome {
	outcome := s.Do(t.Context(), request, pick)
	if response, isResponse := outcome.(*exchange.Response); isResponse {
		response.Close()
	}
	return outcome
}

// newBudgetForTwoRetries returns a budget with 25 tokens; a retry takes 11.
func newBudgetForTwoRetries() *retry.Budget {
	budget := &retry.Budget{}
	for range 25 {
		budget.RecordRequest()
	}
	return budget
}

// TestAtMostTwoServersMayHaveRunAnIdempotentRequest has servers run a request and
// then break the connection: a request that is not idempotent must not be sent again,
// an idempotent one only once.
func TestAtMostTwoServersMayHaveRunAnIdempotentRequest(t *testing.T) {
	for idempotent, want := range map[bool]int{false: 1, true: 2} {
		g := newServerGroup(t, 4)
		g.setFaults(backend.Faults{
			DropAt: backend.DropBeforeResponse,
		})
		sender := &retry.Sender{
			Send:   g.client.Send,
			Budget: newBudgetForTwoRetries(),
		}
		require.IsType(t, &exchange.Unknown{}, sendAndClose(t, sender, newRequest("r1", "/", idempotent), g.pickInOrder))
		require.Equal(t, want, g.totalRequests())
	}
}

// TestRetryAfterDrainingServerNeedsNoBudget sends requests without a budget: a
// draining server costs no budget, but a server that sheds its load does.
func TestRetryAfterDrainingServerNeedsNoBudget(t *testing.T) {
	g := newServerGroup(t, 4)
	g.setFaults(backend.Faults{
		Draining: true,
	})
	g.servers[3].SetFaults(backend.Faults{})
	sender := &retry.Sender{
		Send: g.client.Send,
	}
	require.IsType(t, &exchange.Response{}, sendAndClose(t, sender, newRequest("r1", "/", false), g.pickInOrder))
	require.Equal(t, 1, g.servers[3].RequestLog().RunCounts["r1"])

	g.setFaults(backend.Faults{
		RejectAll: true,
	})
	outcome := sendAndClose(t, sender, newRequest("r2", "/", false), g.pickInOrder)
	require.Equal(t, header.Shed, outcome.(exchange.NotRun).Reason())
	require.Zero(t, g.servers[1].RequestLog().RunCounts["r2"])
	rejected := sendAndClose(t, sender, newRequest("r3", "/", false), func([]netip.AddrPort) (netip.AddrPort, bool) {
		return netip.AddrPort{}, false
	})
	require.Equal(t, retry.NoBackendServer, rejected.(exchange.NotRun).Reason())
}

// TestRetriesStayBelowATenthOfRequests counts attempts while a random fraction of
// them fails, up to all of them. It runs once with a new budget for each request, to
// show how many retries there would be, and once with one budget for all requests, as
// a host has it for each route. Only the second run is limited to a tenth.
func TestRetriesStayBelowATenthOfRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for _, failureRate := range []float64{0.01, 0.05, 0.3, 1} {
		attempts := map[bool]int{}
		const requests = 20_000
		for _, usesOneBudget := range []bool{false, true} {
			budget := &retry.Budget{}
			sender := &retry.Sender{
				Budget: budget,
				Send: func(context.Context, netip.AddrPort, *exchange.Request) exchange.Outcome {
					attempts[usesOneBudget]++
					if random.Float64() < failureRate {
						return &exchange.Unknown{
							Reason: exchange.ConnectionBroken,
						}
					}
					return &exchange.Response{}
				},
			}
			for n := range requests {
				if !usesOneBudget {
					sender.Budget = newBudgetForTwoRetries()
				}
				sender.Do(t.Context(), newRequest("r", "/", true), func([]netip.AddrPort) (netip.AddrPort, bool) {
					return netip.AddrPort{}, true
				})
				counts := budget.Counts()
				require.Less(t, 10*counts.Retries, counts.Requests+1, n)
			}
		}
		t.Logf("failure rate %.0f%%: retries for %d requests: %d with a new budget for each, %d with one budget for all",
			100*failureRate, requests, attempts[false]-requests, attempts[true]-requests)
		require.Less(t, attempts[true]-requests, requests/10)
	}
}

// TestCrashingRequestCrashesAtMostTwoServers has a caller send a request that crashes
// servers again and again, to each entry host in turn, along with other requests. If
// the hosts share their crash reports, the request crashes two servers in total;
// otherwise it crashes two for each host.
func TestCrashingRequestCrashesTwoServersInTotalOrPerHost(t *testing.T) {
	crashed := map[bool]int{}
	for _, sharesReports := range []bool{false, true} {
		const hosts, servers = 7, 24
		g := newServerGroup(t, servers)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		detectors := make([]*crashdetect.Detector, hosts)
		for i := range detectors {
			detectors[i] = &crashdetect.Detector{
				Clock: func() time.Time { return now },
			}
			if sharesReports {
				detectors[i].Broadcast = func(report crashdetect.Report) {
					for _, other := range detectors {
						other.AddReport(report)
					}
				}
			}
		}
		for send := range 3 * hosts {
			sender := &retry.Sender{
				Send:          g.client.Send,
				Budget:        newBudgetForTwoRetries(),
				CrashDetector: detectors[send%hosts],
			}
			pickLive := func(tried []netip.AddrPort) (netip.AddrPort, bool) {
				for i, address := range g.addresses {
					if g.servers[i].Health().State == backend.Live && !slices.Contains(tried, address) {
						return address, true
					}
				}
				return netip.AddrPort{}, false
			}
			sendAndClose(t, sender, newRequest("poison", "/?stand-in-poison=1", true), pickLive)
			for i, server := range g.servers {
				if server.IsCrashed() {
					g.addresses[i] = netip.AddrPort{}
				}
			}
			g.addresses = slices.DeleteFunc(g.addresses, func(a netip.AddrPort) bool { return !a.IsValid() })
			g.servers = slices.DeleteFunc(g.servers, (*backend.Server).IsCrashed)
			require.IsType(t, &exchange.Response{}, sendAndClose(t, sender, newRequest("other", "/", true), pickLive))
			now = now.Add(10 * time.Second)
		}
		crashed[sharesReports] = servers - len(g.servers)
	}
	t.Logf("servers that one request crashed through 7 hosts: %d without shared reports, %d with shared reports", crashed[false], crashed[true])
	require.Equal(t, 14, crashed[false])
	require.Equal(t, 2, crashed[true])
}

// TestServerThatCrashesDuringResponseIsCounted has servers break the connection in
// the middle of the response: the detector must count this like a connection that
// breaks before the response.
func TestServerThatCrashesDuringResponseIsCounted(t *testing.T) {
	g := newServerGroup(t, 2)
	g.setFaults(backend.Faults{
		DropAt: backend.DropDuringResponse,
	})
	detector := &crashdetect.Detector{}
	sender := &retry.Sender{
		Send:          g.client.Send,
		CrashDetector: detector,
	}
	for i := range g.addresses {
		request := newRequest("r1", "/?stand-in-size=100", true)
		require.False(t, detector.ShouldReject(request))
		outcome := sender.Do(t.Context(), request, func([]netip.AddrPort) (netip.AddrPort, bool) { return g.addresses[i], true })
		response, isResponse := outcome.(*exchange.Response)
		require.True(t, isResponse)
		_, err := io.ReadAll(response)
		require.Error(t, err)
		response.Close()
	}
	outcome := sendAndClose(t, sender, newRequest("r1", "/?stand-in-size=100", true), g.pickInOrder)
	require.Equal(t, retry.RequestCrashesServers, outcome.(exchange.NotRun).Reason())
}
