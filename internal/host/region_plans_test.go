package host_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/membership"
)

// TestSmallFleetsDistributeLoadByUtilization guards against a plan that replaces the measured utilization in fleets in which each
// host measures it well.
func TestSmallFleetsDistributeLoadByUtilization(t *testing.T) {
	settings := host.Settings{
		MaxShift: 0.15,
	}
	for _, hosts := range []int{1, 7, membership.MaxDirectHosts} {
		require.Zero(t, settings.PlannedShift(hosts))
	}
	require.Equal(t, 0.15, settings.PlannedShift(membership.MaxDirectHosts+1))
	require.Zero(t, host.Settings{}.PlannedShift(650))
}
