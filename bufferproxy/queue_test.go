package bufferproxy_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/bufferproxy"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/routing"
)

// TestHotTeamsQueueRejectsOnlyItsOwnRequests guards against requests that reach the queue without their team,
// so that those of a small team are rejected because of another team's queue, and against rejections that
// state no time to return or are not counted.
func TestHotTeamsQueueRejectsOnlyItsOwnRequests(t *testing.T) {
	host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "served") })
	patient := configuration()
	patient.Version++
	for i := range patient.Routes {
		patient.Routes[i].Timeout, patient.Routes[i].LatencyTarget = time.Minute, 10*time.Second
	}
	host.handler.SetConfiguration(routing.NewIndex(patient))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hot := placement.Request{
		Service:       "catalogue",
		Route:         "orders",
		Team:          "north",
		QueueDeadline: time.Now().Add(time.Hour),
	}
	held, err := host.handler.Pool.Acquire(ctx, hot)
	require.NoError(t, err)
	for range 4 {
		_, err := host.handler.Pool.Acquire(ctx, hot)
		require.NoError(t, err)
	}
	const queued = 200
	for range queued {
		go func() { _, _ = host.handler.Pool.Acquire(ctx, hot) }()
	}
	require.Eventually(t, func() bool { return host.handler.Pool.QueuedRequests("catalogue") == queued }, 10*time.Second, time.Millisecond)
	response, _ := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	wait, err := time.ParseDuration(response.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.Greater(t, wait, 5*time.Second-time.Millisecond)
	require.EqualValues(t, 1, host.handler.Metrics.RejectionCount("north", "503"))
	var text strings.Builder
	host.handler.Metrics.WriteText(&text)
	require.Contains(t, text.String(), "retry-after/north")

	go func() {
		for host.handler.Pool.QueuedRequests("catalogue") == queued {
			time.Sleep(time.Millisecond)
		}
		host.handler.Pool.Release(held, placement.Inconclusive{})
	}()
	request := host.request(http.MethodPost, "/orders/17", "an order")
	request.Header.Set(apiKeyHeader, "small-key")
	response, body := host.send(request)
	require.Equal(t, http.StatusOK, response.StatusCode, body)
	require.Equal(t, "served", body)
}

// TestRequestsThatServersRefuseReturnApart guards against requests that servers refuse at the same time and
// that are told the same time to return, or don't count as returning then.
func TestRequestsThatServersRefuseReturnApart(t *testing.T) {
	var isFull atomic.Bool
	isFull.Store(true)
	host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		if isFull.Load() {
			writeNotRun(w, r, http.StatusServiceUnavailable)
			return
		}
		writeResponse(w, r, "served")
	})
	waits := make(map[string]bool)
	var longest time.Duration
	for range 10 {
		response, _ := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		value := response.Header.Get("Retry-After")
		wait, err := time.ParseDuration(value)
		require.NoError(t, err)
		require.GreaterOrEqual(t, wait, bufferproxy.DefaultRetryAfter)
		waits[value] = true
		longest = max(longest, wait)
	}
	require.Greater(t, len(waits), 5)
	isFull.Store(false)
	time.Sleep(longest)
	response, _ := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusOK, response.StatusCode)
	var text strings.Builder
	host.handler.Metrics.WriteText(&text)
	require.Contains(t, text.String(), "return-placed/north")
}
