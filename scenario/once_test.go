package scenario_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	backendstandin "trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/internal/standin/caller"
)

const (
	orderCount             = 400
	ordersPerSecond        = 50
	killHostAtOrder        = 120
	dropConnectionsAtOrder = 240

	// orderHeader is the request header that carries the order number.
	orderHeader = "X-Order"

	gracefulStopSignal = syscall.SIGTERM
	// crashQuery is the query that makes a backend server crash when it runs the
	// request.
	crashQuery = backendstandin.CrashParameter + "=1"
)

// TestOrdersRunAtMostOnceDespiteHostAndServerFailures guards against orders that run
// twice, or that run although the caller was told they did not. It sends orders
// with tickets while an entry host is killed and backend servers drop connections
// after running the request. Callers retry an order whenever they are allowed to.
func TestOrdersRunAtMostOnceDespiteHostAndServerFailures(t *testing.T) {
	f := newTestFleet(t, 5)
	key, _ := f.issueKey("bright-start")
	c := f.newCaller(key)
	results := make(chan orderResult, orderCount)
	limiter := rate.NewLimiter(ordersPerSecond, 1)
	var group sync.WaitGroup
	for n := range orderCount {
		require.NoError(t, limiter.Wait(t.Context()))
		switch n {
		case killHostAtOrder:
			f.hosts[0].kill(t)
			f.unregisterMachine(f.hosts[0].Name)
		case dropConnectionsAtOrder:
			for _, s := range f.servers {
				f.setServerFaults(s, `{"drop": "after-request", "drop-count": 5}`)
			}
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			number := strconv.Itoa(n)
			results <- orderResult{
				number: number,
				Result: c.Send(ctx, caller.Request{
					Method: http.MethodPost,
					Path:   "/orders",
					Body:   []byte("chalk"),
					Header: http.Header{
						orderHeader: []string{
							number,
						},
					},
					UseTicket: true,
				}),
			}
		})
	}
	group.Wait()
	close(results)
	requireOrdersRanAtMostOnce(t, f, results)
	f.requireNoViolations(f.hosts[1:]...)
}

// orderResult is the result that a caller got for one order.
type orderResult struct {
	caller.Result
	number string
}

// requireOrdersRanAtMostOnce compares the results that callers got with the requests
// that backend servers ran. Answered orders must have run once, orders reported as not
// run must not have run, and others must have run at most once. It identifies an order
// by its order number, which stays the same across retries and request IDs.
func requireOrdersRanAtMostOnce(t *testing.T, f *testFleet, results <-chan orderResult) {
	runsByOrder := make(map[string]int)
	for _, s := range f.servers {
		for _, e := range f.requestLog(s).Entries {
			if number := e.Header.Get(orderHeader); e.Ran && number != "" {
				runsByOrder[number]++
			}
		}
	}
	outcomes := make(map[caller.Outcome]int)
	reasons := make(map[string]int)
	for r := range results {
		outcomes[r.Outcome]++
		reasons[r.Reason]++
		switch r.Outcome {
		case caller.NotRun, caller.Unreachable:
			require.Zero(t, runsByOrder[r.number], "order %s ran but was reported as not run: %s", r.number, r.Reason)
		case caller.Answered:
			require.Equal(t, 1, runsByOrder[r.number], "runs of answered order %s", r.number)
		}
	}
	t.Logf("outcomes: %v, orders run: %d, reasons: %v", outcomes, len(runsByOrder), reasons)
	for number, count := range runsByOrder {
		require.Equal(t, 1, count, "runs of order %s", number)
	}
	require.Positive(t, outcomes[caller.OutcomeUnknown], "the faults must have left some orders with an unknown outcome")
	require.Greater(t, outcomes[caller.Answered], orderCount*4/5)
}

// TestGracefulStopCompletesRunningRequests guards against a graceful stop that
// cuts off requests. It stops a host while slow requests run on it: all of them must
// be answered, and the host must log that it cut off none.
func TestGracefulStopCompletesRunningRequests(t *testing.T) {
	f := newTestFleet(t, 4)
	key, _ := f.issueKey("bright-start")
	for _, s := range f.servers {
		f.setServerFaults(s, `{"service-time": "2s"}`)
	}
	stopping := f.hosts[0]
	var group sync.WaitGroup
	results := make(chan caller.Result, 3)
	for range cap(results) {
		group.Go(func() { results <- f.sendDirect(stopping, key, http.MethodGet, "/stock") })
	}
	f.waitFor("all requests run on the host", func() bool { return runningRequests(f, stopping) == cap(results) })
	require.NoError(t, stopping.command.Process.Signal(gracefulStopSignal))
	group.Wait()
	close(results)
	for r := range results {
		require.Equal(t, caller.Answered, r.Outcome, r.Reason)
	}
	require.NoError(t, stopping.command.Wait())
	require.Contains(t, stopping.stderr.String(), `"cut":0`)
}

// TestRequestsThatOutlastAStopAreAnswered guards against a stop that breaks the connections of requests that
// still run at the end of the drain limit: their callers learn that they may have run.
func TestRequestsThatOutlastAStopAreAnswered(t *testing.T) {
	t.Setenv("TREFOILLINED_DRAIN_LIMIT", "3s")
	f := newTestFleet(t, 4)
	key, _ := f.issueKey("bright-start")
	for _, s := range f.servers {
		f.setServerFaults(s, `{"service-time": "1m"}`)
	}
	stopping := f.hosts[0]
	results := make(chan caller.Result, 1)
	go func() { results <- f.sendDirect(stopping, key, http.MethodGet, "/stock") }()
	f.waitFor("the request runs on the host", func() bool { return runningRequests(f, stopping) == 1 })
	require.NoError(t, stopping.command.Process.Signal(gracefulStopSignal))
	result := <-results
	require.Equal(t, caller.OutcomeUnknown, result.Outcome, result.Reason)
	require.Equal(t, http.StatusBadGateway, result.Status, result.Reason)
	require.NoError(t, stopping.command.Wait())
	require.Contains(t, stopping.stderr.String(), `"cut":1`)
}

// TestRequestOnAnOpenConnectionIsAnsweredAtAStop guards against requests that a host reads and drops because they arrive on
// open connections after it has closed its listener.
func TestRequestOnAnOpenConnectionIsAnsweredAtAStop(t *testing.T) {
	f := newTestFleet(t, 4)
	key, _ := f.issueKey("bright-start")
	stopping := f.hosts[0]
	require.NoError(t, stopping.command.Process.Signal(gracefulStopSignal))
	var connections []net.Conn
	f.waitFor("the host closes its listener", func() bool {
		connection, err := net.Dial("tcp", stopping.Address.String())
		if err != nil {
			return true
		}
		t.Cleanup(func() { connection.Close() })
		connections = append(connections, connection)
		return false
	})
	for _, connection := range connections[len(connections)/2:] {
		request, err := http.NewRequest(http.MethodGet, "http://"+stopping.Address.String()+"/stock", nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+key)
		require.NoError(t, request.Write(connection))
		response, err := http.ReadResponse(bufio.NewReader(connection), request)
		require.NoError(t, err, "the request gets no answer")
		require.True(t, response.Close)
		require.NoError(t, response.Body.Close())
	}
	require.NoError(t, stopping.command.Wait())
}

// runningRequests returns how many requests the host says it is running.
func runningRequests(f *testFleet, h *process) int {
	running := 0
	for _, r := range f.status(h).GetRegions() {
		running += int(r.GetRunning())
	}
	return running
}

// TestCrashingRequestStopsAtMostTwoServers guards against a request that crashes
// every backend server in turn. It sends a request that crashes each server that
// runs it, again and again: the fleet may lose two servers, not all, and other
// requests of the same sender must still be answered.
func TestCrashingRequestStopsAtMostTwoServers(t *testing.T) {
	f := newTestFleet(t, 4)
	key, _ := f.issueKey("bright-start")
	for range 8 {
		for _, h := range f.hosts {
			f.sendDirect(h, key, http.MethodGet, "/stock?"+crashQuery)
		}
		time.Sleep(pollInterval)
	}
	crashed := 0
	for _, s := range f.servers {
		if f.tryGet("http://"+s.Address.String()+"/health") == nil {
			crashed++
		}
	}
	require.LessOrEqual(t, crashed, 2)
	require.Positive(t, crashed, "the request must have crashed a server")
	f.waitFor("other requests of the sender are answered", func() bool {
		return f.sendDirect(f.hosts[0], key, http.MethodGet, "/stock").Outcome == caller.Answered
	})
}
