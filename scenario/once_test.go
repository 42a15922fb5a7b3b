package scenario_test

import (
	"context"
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
	orderCount = 400
	orderRate  = 50
	killAfter  = 120
	dropAfter  = 240

	// orderHeader carries the number of an order.
	orderHeader = "X-Order"

	stopSignal = syscall.SIGTERM
	poison     = backendstandin.CrashParameter + "=1"
)

// TestOrdersRunOnceWhileHostsDie sends orders with tickets while an entry host
// is killed and backend servers drop connections after they ran the request.
// Callers send an order again whenever they may.
func TestOrdersRunOnceWhileHostsDie(t *testing.T) {
	w := newWorld(t, 5)
	key, _ := w.issueKey("bright-start")
	c := w.caller(key)
	results := make(chan orderResult, orderCount)
	limiter := rate.NewLimiter(orderRate, 1)
	var group sync.WaitGroup
	for n := range orderCount {
		require.NoError(t, limiter.Wait(t.Context()))
		switch n {
		case killAfter:
			w.hosts[0].kill(t)
			w.unlist(w.hosts[0].Name)
		case dropAfter:
			for _, s := range w.servers {
				w.serverFaults(s, `{"drop": "after-request", "drop-count": 5}`)
			}
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
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
	requireOnce(t, w, results)
	w.requireSound(w.hosts[1:]...)
}

// orderResult is what a caller was told of one order.
type orderResult struct {
	caller.Result
	number string
}

// requireOnce holds what callers were told against what backend servers ran. It
// knows an order by its number, which stays the same however often and under
// whichever name it is sent.
func requireOnce(t *testing.T, w *world, results <-chan orderResult) {
	runs := make(map[string]int)
	for _, s := range w.servers {
		for _, e := range w.record(s).Entries {
			if number := e.Header.Get(orderHeader); e.Ran && number != "" {
				runs[number]++
			}
		}
	}
	kinds := make(map[caller.Outcome]int)
	reasons := make(map[string]int)
	for r := range results {
		kinds[r.Outcome]++
		reasons[r.Reason]++
		switch r.Outcome {
		case caller.NotRun, caller.Unreachable:
			require.Zero(t, runs[r.number], "order %s said not run: %s", r.number, r.Reason)
		case caller.Answered:
			require.Equal(t, 1, runs[r.number], "order %s", r.number)
		}
	}
	t.Logf("orders: %v, runs: %d, reasons: %v", kinds, len(runs), reasons)
	for number, count := range runs {
		require.Equal(t, 1, count, "order %s", number)
	}
	require.Positive(t, kinds[caller.OutcomeUnknown], "the faults must have hit orders")
	require.Greater(t, kinds[caller.Answered], orderCount*4/5)
}

// TestStopCutsNoRequest stops a host while slow answers are running on it.
func TestStopCutsNoRequest(t *testing.T) {
	w := newWorld(t, 4)
	key, _ := w.issueKey("bright-start")
	for _, s := range w.servers {
		w.serverFaults(s, `{"service-time": "2s"}`)
	}
	leaving := w.hosts[0]
	var group sync.WaitGroup
	results := make(chan caller.Result, 3)
	for range cap(results) {
		group.Go(func() { results <- w.ask(leaving, key, http.MethodGet, "/stock") })
	}
	w.until("the requests run", func() bool { return runningOn(w, leaving) == cap(results) })
	require.NoError(t, leaving.command.Process.Signal(stopSignal))
	group.Wait()
	close(results)
	for r := range results {
		require.Equal(t, caller.Answered, r.Outcome, r.Reason)
	}
	require.NoError(t, leaving.command.Wait())
	require.Contains(t, leaving.log.String(), `"cut":0`)
}

func runningOn(w *world, h *machine) int {
	running := 0
	for _, r := range w.status(h).GetRegions() {
		running += int(r.GetRunning())
	}
	return running
}

// TestPoisonedRequestIsRefused sends a request that crashes each backend server
// that runs it, again and again: two servers are lost, not all.
func TestPoisonedRequestIsRefused(t *testing.T) {
	w := newWorld(t, 4)
	key, _ := w.issueKey("bright-start")
	for range 8 {
		for _, h := range w.hosts {
			w.ask(h, key, http.MethodGet, "/stock?"+poison)
		}
		time.Sleep(poll)
	}
	lost := 0
	for _, s := range w.servers {
		if w.get("http://"+s.Address.String()+"/health") == nil {
			lost++
		}
	}
	require.LessOrEqual(t, lost, 2)
	require.Positive(t, lost, "the request must have crashed a server")
	w.until("other requests of the sender go on", func() bool {
		return w.ask(w.hosts[0], key, http.MethodGet, "/stock").Outcome == caller.Answered
	})
}
