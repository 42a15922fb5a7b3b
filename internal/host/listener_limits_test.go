package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/routing"
)

var exampleLimits = routing.Limits{
	MaxHeaderBytes: 16384,
	MaxBodyBytes:   64 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// TestConnectionsLeaveDescriptorsForServers guards against callers that take the descriptors which connections to backend servers,
// other hosts and the store need: a quarter of them, on the smallest and the largest machine.
func TestConnectionsLeaveDescriptorsForServers(t *testing.T) {
	for _, descriptors := range []int{4100, 12300} {
		m := Machine{
			Descriptors: descriptors,
		}
		sum := reservedDescriptors
		for _, share := range listenerShares {
			sum += share.maxConnections(m)
		}
		require.Less(t, sum, descriptors*3/4)
	}
}

// TestConnectionsFitIntoMemory guards against connections that take more than half of the memory before any body is read.
func TestConnectionsFitIntoMemory(t *testing.T) {
	for _, megabytes := range []float64{184, 804} {
		sum := 0
		for _, share := range listenerShares {
			sum += share.maxConnections(Machine{
				MemoryMegabytes: megabytes,
			})
		}
		require.Less(t, float64(sum*connectionBytes), megabytes*megabyte/2)
	}
}

// TestNarrowestFigureOfTheMachineCounts guards against a limit that ignores one of the figures, or a machine that is not known.
func TestNarrowestFigureOfTheMachineCounts(t *testing.T) {
	callers := listenerShares[callerListener]
	require.Equal(t, 4096, callers.maxConnections(Machine{}))
	require.Equal(t, 1950, callers.maxConnections(Machine{
		Descriptors: 4100,
	}))
	require.Equal(t, 1247, callers.maxConnections(Machine{
		Descriptors:     4100,
		MemoryMegabytes: 184,
	}))
	require.Equal(t, 1950, callers.maxConnections(Machine{
		Descriptors:     4100,
		MemoryMegabytes: 804,
	}))
	require.Equal(t, 32, callers.maxConnections(Machine{
		Descriptors: 100,
	}))
}

// TestPeersOfARelayFitIntoTheirLimit guards against a relay that closes the connections of hosts of its region: 220 of 650.
func TestPeersOfARelayFitIntoTheirLimit(t *testing.T) {
	require.GreaterOrEqual(t, listenerShares[peerListener].maxConnections(Machine{
		Descriptors:     4100,
		MemoryMegabytes: 184,
	}), 220)
}

// TestCallersWithinTheConfiguredLimitsAreNotAffected guards against limits that are as narrow as those of the configuration, or that
// hold for other hosts too.
func TestCallersWithinTheConfiguredLimitsAreNotAffected(t *testing.T) {
	callers := limitsFor(callerListener, Machine{}, exampleLimits)
	require.Greater(t, callers.MaxHeaderBytes, exampleLimits.MaxHeaderBytes)
	require.Greater(t, callers.HeaderTimeout, exampleLimits.HeaderTimeout)
	require.Greater(t, callers.IdleTimeout, exampleLimits.IdleTimeout)
	narrow := routing.Limits{
		MaxHeaderBytes: 100,
		HeaderTimeout:  time.Millisecond,
		IdleTimeout:    time.Millisecond,
	}
	peers := limitsFor(peerListener, Machine{}, narrow)
	require.GreaterOrEqual(t, peers.MaxHeaderBytes, leastInternalHeaderBytes)
	require.Equal(t, headerTimeout, peers.HeaderTimeout)
	require.Equal(t, idleTimeout, peers.IdleTimeout)
	require.Less(t, limitsFor(callerListener, Machine{}, narrow).IdleTimeout, idleTimeout)
}

// TestLimitsBeforeTheConfigurationIsKnown guards against listeners without limits while the store does not answer.
func TestLimitsBeforeTheConfigurationIsKnown(t *testing.T) {
	limits := limitsFor(callerListener, Machine{}, routing.Limits{})
	require.Equal(t, maxHeaderBytes, limits.MaxHeaderBytes)
	require.Equal(t, headerTimeout, limits.HeaderTimeout)
	require.Equal(t, idleTimeout, limits.IdleTimeout)
}

// TestRuntimeMemoryLimitFollowsTheMachine guards against a runtime that lets garbage grow above the memory of the machine, and
// against a limit for machines that are not known.
func TestRuntimeMemoryLimitFollowsTheMachine(t *testing.T) {
	require.EqualValues(t, 147_200_000, Machine{
		MemoryMegabytes: 184,
	}.runtimeMemoryLimit())
	require.Equal(t, initialMemoryLimit, Machine{}.runtimeMemoryLimit())
}
