package host_test

import (
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/routing"
)

// listeners are those of a host.
var listeners = []host.ListenerKind{
	host.CallerListener,
	host.ReadyListener,
	host.LookupListener,
	host.PeerListener,
	host.MetricsListener,
}

// maxConnections returns how many connections of a listener may be open on a machine.
func maxConnections(kind host.ListenerKind, m host.Machine) int {
	return host.LimitsFor(kind, m, routing.Limits{}).MaxConnections
}

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
		m := host.Machine{
			Descriptors: descriptors,
		}
		sum := 200 // for files
		for _, kind := range listeners {
			sum += maxConnections(kind, m)
		}
		require.Less(t, sum, descriptors*3/4)
	}
}

// TestConnectionsFitIntoMemory guards against connections that take more than half of the memory before any body is read.
func TestConnectionsFitIntoMemory(t *testing.T) {
	for _, megabytes := range []float64{184, 804} {
		sum := 0
		for _, kind := range listeners {
			sum += maxConnections(kind, host.Machine{
				MemoryMegabytes: megabytes,
			})
		}
		require.Less(t, float64(sum*48<<10), megabytes*1e6/2)
	}
}

// TestNarrowestFigureOfTheMachineCounts guards against a limit that ignores one of the figures, or a machine that is not known.
func TestNarrowestFigureOfTheMachineCounts(t *testing.T) {
	require.Equal(t, 4096, maxConnections(host.CallerListener, host.Machine{}))
	require.Equal(t, 1950, maxConnections(host.CallerListener, host.Machine{
		Descriptors: 4100,
	}))
	require.Equal(t, 1247, maxConnections(host.CallerListener, host.Machine{
		Descriptors:     4100,
		MemoryMegabytes: 184,
	}))
	require.Equal(t, 1950, maxConnections(host.CallerListener, host.Machine{
		Descriptors:     4100,
		MemoryMegabytes: 804,
	}))
	require.Equal(t, 32, maxConnections(host.CallerListener, host.Machine{
		Descriptors: 100,
	}))
}

// TestPeersOfARelayFitIntoTheirLimit guards against a relay that closes the connections of hosts of its region: 220 of 650.
func TestPeersOfARelayFitIntoTheirLimit(t *testing.T) {
	require.GreaterOrEqual(t, maxConnections(host.PeerListener, host.Machine{
		Descriptors:     4100,
		MemoryMegabytes: 184,
	}), 220)
}

// TestCallersWithinTheConfiguredLimitsAreNotAffected guards against limits that are as narrow as those of the configuration, or that
// hold for other hosts too.
func TestCallersWithinTheConfiguredLimitsAreNotAffected(t *testing.T) {
	callers := host.LimitsFor(host.CallerListener, host.Machine{}, exampleLimits)
	require.Greater(t, callers.MaxHeaderBytes, exampleLimits.MaxHeaderBytes)
	require.Greater(t, callers.HeaderTimeout, exampleLimits.HeaderTimeout)
	require.Greater(t, callers.IdleTimeout, exampleLimits.IdleTimeout)
	narrow := routing.Limits{
		MaxHeaderBytes: 100,
		HeaderTimeout:  time.Millisecond,
		IdleTimeout:    time.Millisecond,
	}
	peers := host.LimitsFor(host.PeerListener, host.Machine{}, narrow)
	require.GreaterOrEqual(t, peers.MaxHeaderBytes, 24<<10)
	require.Equal(t, 5*time.Second, peers.HeaderTimeout)
	require.Equal(t, 2*time.Minute, peers.IdleTimeout)
	require.Less(t, host.LimitsFor(host.CallerListener, host.Machine{}, narrow).IdleTimeout, 2*time.Minute)
}

// TestLimitsBeforeTheConfigurationIsKnown guards against listeners without limits while the store does not answer.
func TestLimitsBeforeTheConfigurationIsKnown(t *testing.T) {
	limits := host.LimitsFor(host.CallerListener, host.Machine{}, routing.Limits{})
	require.Equal(t, 256<<10, limits.MaxHeaderBytes)
	require.Equal(t, 5*time.Second, limits.HeaderTimeout)
	require.Equal(t, 2*time.Minute, limits.IdleTimeout)
}

// TestRuntimeMemoryLimitFollowsTheMachine guards against a runtime that lets garbage grow above the memory of the machine, and
// against a limit for machines that are not known.
func TestRuntimeMemoryLimitFollowsTheMachine(t *testing.T) {
	require.EqualValues(t, 147_200_000, host.Machine{
		MemoryMegabytes: 184,
	}.RuntimeMemoryLimit())
	require.Equal(t, debug.SetMemoryLimit(-1), host.Machine{}.RuntimeMemoryLimit())
}
