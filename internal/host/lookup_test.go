package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/membership"
)

// TestLookUpAnswersExpireBeforeHostStops guards against connections that are opened while
// the host stops, and are cut. It assumes a caller that asked just before the other hosts
// learned that the host drains, and that uses the answer for three times its TTL.
func TestLookUpAnswersExpireBeforeHostStops(t *testing.T) {
	const maxTTL = 5 * time.Second
	for _, drainTime := range []time.Duration{2 * time.Second, 5400 * time.Millisecond, 30 * time.Second} {
		ttl := host.LookupTTL(maxTTL, drainTime)
		require.LessOrEqual(t, membership.HeartbeatInterval+3*ttl, drainTime)
		require.LessOrEqual(t, ttl, 2*time.Second, "callers must not use a failed host for longer than that")
	}
	require.Equal(t, 500*time.Millisecond, host.LookupTTL(maxTTL, time.Second), "callers must not send look-ups all the time")
	require.Equal(t, 100*time.Millisecond, host.LookupTTL(100*time.Millisecond, time.Hour))
}
