package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

// region is a region in the simulation below.
type region struct {
	slots float64
	// demand is the number of slots that its callers' requests occupy.
	demand float64
}

// simulate updates the remote shares of all regions every 250 ms for the duration,
// and returns the remote share of accra after each update.
func simulate(regions map[string]region, duration time.Duration, initial placement.RemoteShares) []float64 {
	const interval = 250 * time.Millisecond
	shares := make(map[string]float64)
	for name := range regions {
		shares[name] = initial[name]
	}
	var history []float64
	for range int(duration / interval) {
		utilization := make(placement.RegionUtilization)
		for name, r := range regions {
			load := r.demand * (1 - shares[name])
			for other, o := range regions {
				if other != name {
					load += o.demand * shares[other] / float64(len(regions)-1)
				}
			}
			utilization[name] = load / r.slots
		}
		for name := range regions {
			remoteShares := placement.RemoteShares{
				"stock": shares[name],
			}
			shares[name] = remoteShares.NextShare("stock", name, utilization, interval)
		}
		history = append(history, shares["accra"])
	}
	return history
}

// TestOverloadedRegionMovesExcessLoadElsewhere simulates a region with a third of the
// callers and a twelfth of the slots. Its remote share must grow, slowly enough, and
// then stay stable.
func TestOverloadedRegionMovesExcessLoadElsewhere(t *testing.T) {
	regions := map[string]region{
		"accra":  {slots: 8, demand: 13},
		"kumasi": {slots: 40, demand: 13},
		"tamale": {slots: 48, demand: 13},
	}
	shares := simulate(regions, 30*time.Second, nil)
	last := shares[len(shares)-1]
	require.Greater(t, last, 0.5)
	// The share is stable at the end.
	require.InDelta(t, last, shares[len(shares)-20], 0.05)
	// Eight intervals are two seconds.
	for i := 8; i < len(shares); i++ {
		require.LessOrEqual(t, shares[i]-shares[i-8], 0.11, "in two seconds")
	}
}

func TestRemoteShareShrinksWhenRegionHasCapacity(t *testing.T) {
	regions := map[string]region{
		"accra":  {slots: 40, demand: 10},
		"kumasi": {slots: 40, demand: 10},
	}
	shares := simulate(regions, 30*time.Second, placement.RemoteShares{
		"accra": 0.8,
	})
	require.Less(t, shares[len(shares)-1], 0.05)
	// Eight intervals are two seconds.
	for i := 8; i < len(shares); i++ {
		require.LessOrEqual(t, shares[i-8]-shares[i], 0.11, "in two seconds")
	}
}

// TestNoLoadMovesWhileAllRegionsAreOverloaded simulates the start of a day, when no
// server has any affinity key cached. The new servers of keys that move would not have
// them cached either.
func TestNoLoadMovesWhileAllRegionsAreOverloaded(t *testing.T) {
	regions := map[string]region{
		"accra":  {slots: 32, demand: 45},
		"kumasi": {slots: 32, demand: 44},
		"tamale": {slots: 32, demand: 43},
	}
	for _, share := range simulate(regions, 20*time.Second, nil) {
		require.Less(t, share, 0.02)
	}
}

func TestIsIdleOnlyIfAllRegionsHaveAlmostNoLoad(t *testing.T) {
	require.True(t, placement.RegionUtilization(nil).IsIdle())
	require.True(t, placement.RegionUtilization{
		"accra":  0,
		"kumasi": 0.01,
	}.IsIdle())
	require.False(t, placement.RegionUtilization{
		"accra":  0,
		"kumasi": 0.2,
	}.IsIdle())
}

// TestRemoteFractionOfServedRequestsChangesSlowly guards against a fast move of the
// requests that are served. An overloaded region refuses most local requests, so that
// a small change of its remote share moves a large fraction of those served.
func TestRemoteFractionOfServedRequestsChangesSlowly(t *testing.T) {
	const interval = 250 * time.Millisecond
	for _, own := range []float64{0.9, 1, 2, 4} {
		utilization := placement.RegionUtilization{
			"accra":  own,
			"kumasi": 0.1,
		}
		remoteShares := placement.RemoteShares{}
		var remoteFractions []float64
		for range 120 {
			share := remoteShares.NextShare("stock", "accra", utilization, interval)
			remoteShares["stock"] = share
			// All requests of the remote share are served. Of the others, the local
			// servers serve the fraction 1/own if own is above 1.
			remoteFractions = append(remoteFractions, share/(share+(1-share)/max(1, own)))
		}
		// Eight intervals are two seconds.
		for i := 8; i < len(remoteFractions); i++ {
			require.Less(t, remoteFractions[i]-remoteFractions[i-8], 0.15, own)
		}
		require.Greater(t, remoteFractions[len(remoteFractions)-1], 0.95, own)
	}
}

func TestRoutesWithMostLatencySlackMoveFirst(t *testing.T) {
	loads := []placement.RouteLoad{
		{
			Route:          "report",
			Service:        "packs",
			LatencyTarget:  800 * time.Millisecond,
			CachedSlotTime: 290 * time.Millisecond,
			Rate:           20,
		},
		{
			Route:          "download",
			Service:        "packs",
			LatencyTarget:  250 * time.Millisecond,
			CachedSlotTime: 60 * time.Millisecond,
			Rate:           16,
		},
	}
	localShares := placement.LocalShares(loads, placement.RemoteShares{
		"packs": 0.4,
	}, 110*time.Millisecond)
	require.Equal(t, 1.0, localShares["download"])
	// The service's remote load is 0.4 of 6.76 slots. All of it is taken from the
	// 5.8 slots of the reports.
	require.InDelta(t, 1-0.4*6.76/5.8, localShares["report"], 0.001)
}

func TestInitialRemoteShareIsPositiveOnlyForRegionsWithFewSlots(t *testing.T) {
	slots := map[string]float64{
		"accra":  8,
		"kumasi": 40,
		"tamale": 48,
	}
	// The assumed load of each region is 0.4 of 32 slots. accra keeps 0.65 of its 8
	// slots.
	require.InDelta(t, 1-0.65*8/12.8, placement.InitialRemoteShare("accra", slots), 0.001)
	require.Zero(t, placement.InitialRemoteShare("kumasi", slots))
	require.Zero(t, placement.InitialRemoteShare("kumasi", nil))
}
