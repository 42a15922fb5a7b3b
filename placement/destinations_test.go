package placement_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

// destinationsOf returns the server of each of 2,000 keys that leave accra.
func destinationsOf(t *testing.T, pool *placement.Pool) map[string]string {
	t.Helper()
	const keys = 2000
	servers := make(map[string]string, keys)
	for n := range keys {
		key := fmt.Sprint("key-", n)
		reservation := acquire(t, pool, newRequest(key, 0))
		servers[key] = reservation.Server.Name
		pool.Release(reservation, placement.Inconclusive{})
	}
	return servers
}

func fractionIn(region string, servers map[string]string) float64 {
	count := 0.0
	for _, name := range servers {
		if name[:len(region)] == region {
			count++
		}
	}
	return count / float64(len(servers))
}

// newExportingPool returns the pool of a host in accra that serves nothing there.
func newExportingPool(weights map[string]float64) *placement.Pool {
	pool := newPool(map[string]int{"accra": 2, "kumasi": 10, "tamale": 10})
	pool.SetLocalShares(map[string]float64{
		"stock": 0,
	})
	pool.SetDestinations(map[string]map[string]float64{
		service: weights,
	})
	return pool
}

// TestKeysThatLeaveRegionFollowWeights guards against load that is sent to a region that exports
// load itself, and against keys that change their server without need when weights change.
func TestKeysThatLeaveRegionFollowWeights(t *testing.T) {
	bySlots := destinationsOf(t, newExportingPool(nil))
	require.InDelta(t, 0.5, fractionIn("kumasi", bySlots), 0.05)
	even := destinationsOf(t, newExportingPool(map[string]float64{
		"kumasi": 0.5,
		"tamale": 0.5,
	}))
	require.Equal(t, bySlots, even)
	uneven := destinationsOf(t, newExportingPool(map[string]float64{
		"kumasi": 0.8,
		"tamale": 0.2,
	}))
	require.InDelta(t, 0.8, fractionIn("kumasi", uneven), 0.05)
	for key, server := range uneven {
		if bySlots[key][:6] == "kumasi" {
			require.Equal(t, bySlots[key], server, "only keys of the other region move")
		}
	}
	require.Zero(t, fractionIn("tamale", destinationsOf(t, newExportingPool(map[string]float64{
		"kumasi": 1,
	}))))
}

// TestRegionWithoutWeightServesIfNoOtherServerAccepts guards against requests that fail with
// servers free because the plan gives their region no weight.
func TestRegionWithoutWeightServesIfNoOtherServerAccepts(t *testing.T) {
	pool := newExportingPool(map[string]float64{
		"kumasi": 1,
	})
	pool.SetEvacuatedZones([]string{"kumasi-a"})
	require.InDelta(t, 1, fractionIn("tamale", destinationsOf(t, pool)), 0)
}
