package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/roster"
)

// TestLookUpsRunOutBeforeAHostStops wants that a caller that uses an answer three
// times as long as it may, and asked just before the others learned that a host
// leaves, opens no connection as it stops.
func TestLookUpsRunOutBeforeAHostStops(t *testing.T) {
	const longest = 5 * time.Second
	for _, stays := range []time.Duration{2 * time.Second, 5400 * time.Millisecond, 30 * time.Second} {
		validity := host.LookUpTTL(longest, stays)
		require.LessOrEqual(t, roster.HeartbeatInterval+3*validity, stays)
		require.LessOrEqual(t, validity, 2*time.Second, "a host that is lost is named no longer")
	}
	require.Equal(t, 500*time.Millisecond, host.LookUpTTL(longest, time.Second), "callers do not ask all the time")
	require.Equal(t, 100*time.Millisecond, host.LookUpTTL(100*time.Millisecond, time.Hour))
}
