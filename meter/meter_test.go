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
	require.Zero(t, r.PerSecond(start))
	now := start
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		r.Add(now)
	}
	require.InDelta(t, 100, r.PerSecond(now), 5)
	require.InDelta(t, 100*0.368, r.PerSecond(now.Add(meter.DefaultWindow)), 5)
	require.InDelta(t, 0, r.PerSecond(now.Add(10*time.Second)), 0.01)
}

func TestABucketLetsItsRateAndBurstPass(t *testing.T) {
	b := meter.TokenBucket{
		Rate:  10,
		Burst: 5,
	}
	require.False(t, b.TakeToken(start), "a new bucket is empty")
	require.Equal(t, 100*time.Millisecond, b.TimeUntilToken(start).Round(time.Microsecond))
	now := start.Add(10 * time.Second)
	passed := 0
	for b.TakeToken(now) {
		passed++
	}
	require.Equal(t, 5, passed)
	now = now.Add(300 * time.Millisecond)
	for b.TakeToken(now) {
		passed++
	}
	require.Equal(t, 8, passed)
}

func TestALowerBurstTakesWhatWasSaved(t *testing.T) {
	b := meter.TokenBucket{
		Rate:  10,
		Burst: 50,
	}
	b.HasToken(start)
	now := start.Add(time.Minute)
	b.SetRate(now, 1, 2)
	passed := 0
	for b.TakeToken(now) {
		passed++
	}
	require.Equal(t, 2, passed)
	b.AddTokens(7)
	require.True(t, b.TakeToken(now))
	require.True(t, b.TakeToken(now))
	require.False(t, b.TakeToken(now))
}

func TestABucketTakesNoTimeThatGoesBack(t *testing.T) {
	b := meter.TokenBucket{
		Rate:  10,
		Burst: 1,
	}
	b.HasToken(start)
	require.False(t, b.HasToken(start.Add(-time.Hour)))
	require.True(t, b.HasToken(start.Add(100*time.Millisecond)))
}
