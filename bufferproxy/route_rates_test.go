package bufferproxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/routing"
)

// TestDemandLeavesOutRequestsAboveRate guards against load that moves to other regions because a team
// sends far more than its rate: what the limit rejects occupies no slots.
func TestDemandLeavesOutRequestsAboveRate(t *testing.T) {
	host := newTestHost(t, respondOK)
	send := func() int {
		r := host.request(http.MethodGet, "/stock/17", "")
		r.Header.Set(apiKeyHeader, "small-key")
		response, _ := host.send(r)
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, send())
	before := host.handler.RouteDemand()["stock"]
	require.Positive(t, before)
	for range 5 {
		require.Equal(t, http.StatusTooManyRequests, send())
	}
	require.LessOrEqual(t, host.handler.RouteDemand()["stock"], before)
}

// TestDemandThatMayNotLeaveRegionIsCountedApart guards against load that is planned to move although its
// teams are bound to the region, and against such load being unknown to the plan.
func TestDemandThatMayNotLeaveRegionIsCountedApart(t *testing.T) {
	host := newTestHost(t, respondOK)
	bound := configuration()
	bound.Version++
	for i := range bound.Teams {
		bound.Teams[i].Regions = []string{"accra"}
	}
	require.True(t, host.handler.SetConfiguration(routing.NewIndex(bound)))
	response, _ := host.send(host.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, host.handler.RouteDemand())
	require.Positive(t, host.handler.BoundRouteDemand()["stock"])
}
