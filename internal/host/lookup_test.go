package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/roster"
)

// TestLookUpAnswersExpireBeforeHostStops guards against connections that are opened while
// the host stops, and are cut. The caller in question asked just before the other hosts
// learned that the host drains, and uses the answer three times as long as it may.
func TestLookUpAnswersExpireBeforeHostStops(t *testing.T) {
	const maxValidity = 5 * time.Second
	for _, drainTime := range []time.Duration{2 * time.Second, 5400 * time.Millisecond, 30 * time.Second} {
		validity := host.LookUpTTL(maxValidity, drainTime)
		require.LessOrEqual(t, roster.HeartbeatInterval+3*validity, drainTime)
		require.LessOrEqual(t, validity, 2*time.Second, "a failed host must not be named any longer")
	}
	require.Equal(t, 500*time.Millisecond, host.LookUpTTL(maxValidity, time.Second), "callers must not send look-ups all the time")
	require.Equal(t, 100*time.Millisecond, host.LookUpTTL(100*time.Millisecond, time.Hour))
}
