package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// newWeights assigns the values to the regions of regionNames in order.
func newWeights(values ...float64) steer.Weights {
	w := make(steer.Weights, 0, len(values))
	for i, v := range values {
		w = append(w, table.Weight{
			Region: regionNames[i],
			Weight: v,
		})
	}
	return w
}

func TestTableWeightsLeaveOutDrainedRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	route := table.Route{
		Weights: newWeights(2, 1, 1),
	}
	drains := []table.Drain{
		{
			Region: "accra",
			Start:  now,
			End:    now.Add(time.Hour),
		},
	}
	require.InDelta(t, 0.5, steer.TableWeights(route, drains, now.Add(-1)).Of("accra"), 1e-9)
	require.Zero(t, steer.TableWeights(route, drains, now).Of("accra"))
	require.InDelta(t, 0.5, steer.TableWeights(route, drains, now).Of("kumasi"), 1e-9)
	require.InDelta(t, 0.5, steer.TableWeights(route, drains, now.Add(time.Hour)).Of("accra"), 1e-9)
}

func TestPickRegionFollowsWeights(t *testing.T) {
	w := newWeights(0.5, 0.3, 0.2)
	counts := make(map[string]int)
	const hashes = 100_000
	for i := range hashes {
		counts[w.PickRegion(steer.RequestHash(i)*0x9e3779b97f4a7c15)]++
	}
	for _, x := range w {
		require.InDelta(t, x.Weight, float64(counts[x.Region])/hashes, 0.01)
	}
}

// TestPickRegionMovesOnlyHashesOfReducedRegion guards against needless moves:
// if the weight of one region falls, only its hashes may move.
func TestPickRegionMovesOnlyHashesOfReducedRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0, 1)
		before := newWeights(weight.Draw(t, "a"), weight.Draw(t, "b"), weight.Draw(t, "c"))
		after := newWeights(before[0].Weight*rapid.Float64Range(0, 1).Draw(t, "cut"), before[1].Weight, before[2].Weight)
		hash := steer.RequestHash(rapid.Uint64().Draw(t, "point"))
		from, to := before.PickRegion(hash), after.PickRegion(hash)
		if from != to {
			require.Equal(t, "accra", from)
		}
	})
}
