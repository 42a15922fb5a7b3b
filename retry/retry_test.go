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

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/suspect"
)

// pool is a few backend servers.
type pool struct {
	servers   []*backend.Server
	addresses []netip.AddrPort
	client    *exchange.Client
}

func newPool(t *testing.T, count int) *pool {
	t.Helper()
	p := &pool{
		client: &exchange.Client{
			OnViolation: func(v exchange.Violation) { t.Errorf("violation: %+v", v) },
		},
	}
	t.Cleanup(p.client.Close)
	for range count {
		server := &backend.Server{}
		front := httptest.NewServer(server)
		t.Cleanup(front.Close)
		p.servers = append(p.servers, server)
		p.addresses = append(p.addresses, netip.MustParseAddrPort(front.Listener.Addr().String()))
	}
	return p
}

// inOrder picks the servers one after the other.
func (p *pool) inOrder(tried []netip.AddrPort) (netip.AddrPort, bool) {
	for _, address := range p.addresses {
		if !slices.Contains(tried, address) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

func (p *pool) setFaults(faults backend.Faults) {
	for _, server := range p.servers {
		server.SetFaults(faults)
	}
}

func (p *pool) total() int {
	total := 0
	for _, server := range p.servers {
		total += server.RequestLog().TotalRuns
	}
	return total
}

func newRequest(name, target string, idempotent bool) *exchange.Request {
	at, err := url.Parse(target)
	if err != nil {
		panic(err)
	}
	return &exchange.Request{
		ID:         name,
		Method:     http.MethodPost,
		URL:        at,
		Idempotent: idempotent,
	}
}

// do sends the request and gives the outcome's answer free.
func do(t *testing.T, s *retry.Sender, request *exchange.Request, pick retry.PickFunc) exchange.Outcome {
	outcome := s.Do(t.Context(), request, pick)
	if answered, isAnswered := outcome.(*exchange.Response); isAnswered {
		answered.Close()
	}
	return outcome
}

// rich returns a budget that has saved up.
func rich() *retry.Budget {
	budget := &retry.Budget{}
	for range 25 {
		budget.RecordRequest()
	}
	return budget
}

func TestRequestMeetsTwoServersThatMayRunIt(t *testing.T) {
	for idempotent, want := range map[bool]int{false: 1, true: 2} {
		p := newPool(t, 4)
		p.setFaults(backend.Faults{
			DropAt: backend.DropBeforeResponse,
		})
		sender := &retry.Sender{
			Send:   p.client.Send,
			Budget: rich(),
		}
		require.IsType(t, &exchange.Unknown{}, do(t, sender, newRequest("r1", "/", idempotent), p.inOrder))
		require.Equal(t, want, p.total())
	}
}

func TestServersThatDoNotRunItAreFree(t *testing.T) {
	p := newPool(t, 4)
	p.setFaults(backend.Faults{
		Draining: true,
	})
	p.servers[3].SetFaults(backend.Faults{})
	sender := &retry.Sender{
		Send: p.client.Send,
	}
	require.IsType(t, &exchange.Response{}, do(t, sender, newRequest("r1", "/", false), p.inOrder))
	require.Equal(t, 1, p.servers[3].RequestLog().RunCounts["r1"])

	p.setFaults(backend.Faults{
		RejectAll: true,
	})
	outcome := do(t, sender, newRequest("r2", "/", false), p.inOrder)
	require.Equal(t, header.Shed, outcome.(exchange.NotRun).Reason())
	require.Zero(t, p.servers[1].RequestLog().RunCounts["r2"])
	none := do(t, sender, newRequest("r3", "/", false), func([]netip.AddrPort) (netip.AddrPort, bool) {
		return netip.AddrPort{}, false
	})
	require.Equal(t, retry.NoBackendServer, none.(exchange.NotRun).Reason())
}

// TestRetriesStayUnderATenth counts sends while a random part of them fails.
func TestRetriesStayUnderATenth(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for _, failing := range []float64{0.01, 0.05, 0.3, 1} {
		sends := map[bool]int{}
		const first = 20_000
		for _, isBudgeted := range []bool{false, true} {
			budget := &retry.Budget{}
			sender := &retry.Sender{
				Budget: budget,
				Send: func(context.Context, netip.AddrPort, *exchange.Request) exchange.Outcome {
					sends[isBudgeted]++
					if random.Float64() < failing {
						return &exchange.Unknown{
							Reason: exchange.ConnectionBroken,
						}
					}
					return &exchange.Response{}
				},
			}
			for n := range first {
				if !isBudgeted {
					sender.Budget = rich()
				}
				sender.Do(t.Context(), newRequest("r", "/", true), func([]netip.AddrPort) (netip.AddrPort, bool) {
					return netip.AddrPort{}, true
				})
				counts := budget.Counts()
				require.Less(t, 10*counts.Retries, counts.Requests+1, n)
			}
		}
		t.Logf("%.0f%% fail: retries for %d first tries: without a budget %d, with %d",
			100*failing, first, sends[false]-first, sends[true]-first)
		require.Less(t, sends[true]-first, first/10)
	}
}

// TestCrashingRequestTakesDownTwoServers has a caller send the request that
// crashes servers again and again, to each host in turn, among its others.
func TestCrashingRequestTakesDownTwoServers(t *testing.T) {
	lost := map[bool]int{}
	for _, isSharing := range []bool{false, true} {
		const hosts, servers = 7, 24
		p := newPool(t, servers)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		lists := make([]*suspect.Detector, hosts)
		for i := range lists {
			lists[i] = &suspect.Detector{
				Clock: func() time.Time { return now },
			}
			if isSharing {
				lists[i].Broadcast = func(loss suspect.Report) {
					for _, other := range lists {
						other.AddReport(loss)
					}
				}
			}
		}
		for send := range 3 * hosts {
			sender := &retry.Sender{
				Send:          p.client.Send,
				Budget:        rich(),
				CrashDetector: lists[send%hosts],
			}
			alive := func(tried []netip.AddrPort) (netip.AddrPort, bool) {
				for i, address := range p.addresses {
					if p.servers[i].Health().State == backend.Live && !slices.Contains(tried, address) {
						return address, true
					}
				}
				return netip.AddrPort{}, false
			}
			do(t, sender, newRequest("poison", "/?stand-in-poison=1", true), alive)
			for i, server := range p.servers {
				if server.IsCrashed() {
					p.addresses[i] = netip.AddrPort{}
				}
			}
			p.addresses = slices.DeleteFunc(p.addresses, func(a netip.AddrPort) bool { return !a.IsValid() })
			p.servers = slices.DeleteFunc(p.servers, (*backend.Server).IsCrashed)
			require.IsType(t, &exchange.Response{}, do(t, sender, newRequest("other", "/", true), alive))
			now = now.Add(10 * time.Second)
		}
		lost[isSharing] = servers - len(p.servers)
	}
	t.Logf("servers lost to one request over 7 hosts: each for itself %d, shared %d", lost[false], lost[true])
	require.Equal(t, 14, lost[false])
	require.Equal(t, 2, lost[true])
}

// TestServersLostInTheAnswerCount has servers die of a request after they began
// to answer it.
func TestServersLostInTheAnswerCount(t *testing.T) {
	p := newPool(t, 2)
	p.setFaults(backend.Faults{
		DropAt: backend.DropDuringResponse,
	})
	list := &suspect.Detector{}
	sender := &retry.Sender{
		Send:          p.client.Send,
		CrashDetector: list,
	}
	for i := range p.addresses {
		request := newRequest("r1", "/?stand-in-size=100", true)
		require.False(t, list.Refuses(request))
		outcome := sender.Do(t.Context(), request, func([]netip.AddrPort) (netip.AddrPort, bool) { return p.addresses[i], true })
		answered, isAnswered := outcome.(*exchange.Response)
		require.True(t, isAnswered)
		_, err := io.ReadAll(answered)
		require.Error(t, err)
		answered.Close()
	}
	outcome := do(t, sender, newRequest("r1", "/?stand-in-size=100", true), p.inOrder)
	require.Equal(t, retry.RequestCrashesServers, outcome.(exchange.NotRun).Reason())
}
