package meter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/meter"
)

var start = time.Unix(1000, 0)

func TestARateFollowsWhatHappens(t *testing.T) {
	var r meter.Rate
	require.Zero(t, r.At(start))
	now := start
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		r.Add(now)
	}
	require.InDelta(t, 100, r.At(now), 5)
	require.InDelta(t, 100*0.368, r.At(now.Add(meter.DefaultWindow)), 5)
	require.InDelta(t, 0, r.At(now.Add(10*time.Second)), 0.01)
}

func TestABucketLetsItsRateAndBurstPass(t *testing.T) {
	b := meter.Bucket{
		Rate:  10,
		Burst: 5,
	}
	require.False(t, b.Take(start), "a new bucket is empty")
	require.Equal(t, 100*time.Millisecond, b.Wait(start).Round(time.Microsecond))
	now := start.Add(10 * time.Second)
	passed := 0
	for b.Take(now) {
		passed++
	}
	require.Equal(t, 5, passed)
	now = now.Add(300 * time.Millisecond)
	for b.Take(now) {
		passed++
	}
	require.Equal(t, 8, passed)
}

func TestALowerBurstTakesWhatWasSaved(t *testing.T) {
	b := meter.Bucket{
		Rate:  10,
		Burst: 50,
	}
	b.Has(start)
	now := start.Add(time.Minute)
	b.Set(now, 1, 2)
	passed := 0
	for b.Take(now) {
		passed++
	}
	require.Equal(t, 2, passed)
	b.Add(7)
	require.True(t, b.Take(now))
	require.True(t, b.Take(now))
	require.False(t, b.Take(now))
}

func TestABucketTakesNoTimeThatGoesBack(t *testing.T) {
	b := meter.Bucket{
		Rate:  10,
		Burst: 1,
	}
	b.Has(start)
	require.False(t, b.Has(start.Add(-time.Hour)))
	require.True(t, b.Has(start.Add(100*time.Millisecond)))
}
