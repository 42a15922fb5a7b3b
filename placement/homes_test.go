package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

// region is a region under a load in the replay below.
type region struct {
	slots float64
	// demand is how many slots its callers fill.
	demand float64
}

// replay plays regions whose load moves by Step for the time, and returns the share
// of the first that is placed elsewhere, every 250 ms.
func replay(regions map[string]region, span time.Duration, start placement.RemoteShares) []float64 {
	const tick = 250 * time.Millisecond
	shares := make(map[string]float64)
	for name := range regions {
		shares[name] = start[name]
	}
	var of []float64
	for range int(span / tick) {
		crowding := make(placement.RegionUtilization)
		for name, r := range regions {
			load := r.demand * (1 - shares[name])
			for other, o := range regions {
				if other != name {
					load += o.demand * shares[other] / float64(len(regions)-1)
				}
			}
			crowding[name] = load / r.slots
		}
		for name := range regions {
			away := placement.RemoteShares{
				"stock": shares[name],
			}
			shares[name] = away.NextShare("stock", name, crowding, tick)
		}
		of = append(of, shares["accra"])
	}
	return of
}

// TestARegionWithFewSlotsPlacesItsExcessElsewhere replays a third of the callers at
// a twelfth of the slots.
func TestARegionWithFewSlotsPlacesItsExcessElsewhere(t *testing.T) {
	regions := map[string]region{
		"accra":  {slots: 8, demand: 13},
		"kumasi": {slots: 40, demand: 13},
		"tamale": {slots: 48, demand: 13},
	}
	shares := replay(regions, 30*time.Second, nil)
	last := shares[len(shares)-1]
	require.Greater(t, last, 0.5)
	// It stays there.
	require.InDelta(t, last, shares[len(shares)-20], 0.05)
	for i := 8; i < len(shares); i++ {
		require.LessOrEqual(t, shares[i]-shares[i-8], 0.11, "in two seconds")
	}
}

func TestAShareComesBackWhenTheRegionHasRoom(t *testing.T) {
	regions := map[string]region{
		"accra":  {slots: 40, demand: 10},
		"kumasi": {slots: 40, demand: 10},
	}
	shares := replay(regions, 30*time.Second, placement.RemoteShares{
		"accra": 0.8,
	})
	require.Less(t, shares[len(shares)-1], 0.05)
	for i := 8; i < len(shares); i++ {
		require.LessOrEqual(t, shares[i-8]-shares[i], 0.11, "in two seconds")
	}
}

// TestNothingMovesWhileAllRegionsAreCrowded replays the start of a day on which no
// object is warm: objects that move would be cold again.
func TestNothingMovesWhileAllRegionsAreCrowded(t *testing.T) {
	regions := map[string]region{
		"accra":  {slots: 32, demand: 45},
		"kumasi": {slots: 32, demand: 44},
		"tamale": {slots: 32, demand: 43},
	}
	for _, share := range replay(regions, 20*time.Second, nil) {
		require.Less(t, share, 0.02)
	}
}

func TestNothingIsLearnedWithoutLoad(t *testing.T) {
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

// TestTheShareMovesSlowerWhereRequestsAreTurnedAway bounds the part of the served
// requests that change their region.
func TestTheShareMovesSlowerWhereRequestsAreTurnedAway(t *testing.T) {
	const tick = 250 * time.Millisecond
	for _, own := range []float64{0.9, 1, 2, 4} {
		of := placement.RegionUtilization{
			"accra":  own,
			"kumasi": 0.1,
		}
		away := placement.RemoteShares{}
		var served []float64
		for range 120 {
			share := away.NextShare("stock", "accra", of, tick)
			away["stock"] = share
			// Of what is asked, the share goes elsewhere; of the rest the servers
			// here run one part in so many.
			served = append(served, share/(share+(1-share)/max(1, own)))
		}
		for i := 8; i < len(served); i++ {
			require.Less(t, served[i]-served[i-8], 0.15, own)
		}
		require.Greater(t, served[len(served)-1], 0.95, own)
	}
}

func TestRoutesWithTheMostTimeLeftGoFirst(t *testing.T) {
	loads := []placement.RouteLoad{
		{
			Route:         "report",
			Service:       "packs",
			LatencyTarget: 800 * time.Millisecond,
			WarmSlotTime:  290 * time.Millisecond,
			Rate:          20,
		},
		{
			Route:         "download",
			Service:       "packs",
			LatencyTarget: 250 * time.Millisecond,
			WarmSlotTime:  60 * time.Millisecond,
			Rate:          16,
		},
	}
	homes := placement.LocalShares(loads, placement.RemoteShares{
		"packs": 0.4,
	}, 110*time.Millisecond)
	require.Equal(t, 1.0, homes["download"])
	// 0.4 of 6.76 slots, of the 5.8 of the reports.
	require.InDelta(t, 1-0.4*6.76/5.8, homes["report"], 0.001)
}

func TestAGuessIsAboveZeroOnlyWhereSlotsAreFew(t *testing.T) {
	slots := map[string]float64{
		"accra":  8,
		"kumasi": 40,
		"tamale": 48,
	}
	// Equal loads of 0.4 of 32 slots; 0.65 of 8 have room at home.
	require.InDelta(t, 1-0.65*8/12.8, placement.InitialRemoteShare("accra", slots), 0.001)
	require.Zero(t, placement.InitialRemoteShare("kumasi", slots))
	require.Zero(t, placement.InitialRemoteShare("kumasi", nil))
}
