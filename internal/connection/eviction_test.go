package connection

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	crowdHost = netip.MustParseAddr("192.0.2.1")
	ordinary  = netip.MustParseAddr("192.0.2.2")
)

// before returns a candidate that made its last progress so long before start.
func before(caller netip.Addr, p phase, age time.Duration) candidate {
	return candidate{
		caller:     caller,
		phase:      p,
		progressAt: start.Add(-age),
	}
}

// TestOneAddressGivesUpItsOwnConnections guards against a crowd of 40 connections with unfinished headers from one address that
// takes the connections of a caller with three.
func TestOneAddressGivesUpItsOwnConnections(t *testing.T) {
	candidates := []candidate{
		before(ordinary, idle, 10*time.Second),
		before(ordinary, inHeader, 4*time.Second),
		before(ordinary, inBody, 9*time.Second),
	}
	for range 40 {
		candidates = append(candidates, before(crowdHost, inHeader, 0))
	}
	selected := selectEvicted(start, candidates, 37)
	require.Len(t, selected, 37)
	for _, i := range selected {
		require.Equal(t, crowdHost, candidates[i].caller)
	}
}

// TestConnectionsWithoutProgressAreClosedInOrder guards against requests that are lost while other connections wait for nothing:
// one address has connections of all kinds.
func TestConnectionsWithoutProgressAreClosedInOrder(t *testing.T) {
	candidates := []candidate{
		before(crowdHost, serving, time.Minute),
		before(crowdHost, inBody, 20*time.Second),
		before(crowdHost, inBody, 30*time.Second),
		before(crowdHost, inHeader, 3*time.Second),
		before(crowdHost, idle, 2*time.Second),
		before(crowdHost, idle, 5*time.Second),
		before(crowdHost, closing, 1*time.Second),
		before(crowdHost, idle, quietTime/2),
		before(crowdHost, inBody, quietTime/2),
	}
	require.Equal(t, []int{6, 5, 4, 3, 2, 1, 7, 8}, selectEvicted(start, candidates, len(candidates)))
}

// TestConnectionsInUseAreSparedFromANewCrowd guards against a crowd that opens 100 connections a moment ago from the
// address of an ordinary caller, whose connections were idle for a moment between two requests.
func TestConnectionsInUseAreSparedFromANewCrowd(t *testing.T) {
	candidates := []candidate{before(crowdHost, idle, 10*time.Millisecond)}
	for range 100 {
		candidates = append(candidates, before(crowdHost, inHeader, 500*time.Millisecond))
	}
	require.NotContains(t, selectEvicted(start, candidates, 100), 0)
}

// TestAddressesWithEqualCountsShareTheLoss guards against a crowd of 50 addresses with two connections each, of which one
// address would lose all.
func TestAddressesWithEqualCountsShareTheLoss(t *testing.T) {
	var candidates []candidate
	for n := range 100 {
		caller := netip.AddrFrom4([4]byte{192, 0, 2, byte(n / 2)})
		candidates = append(candidates, before(caller, inHeader, time.Duration(n)*time.Second))
	}
	seen := make(map[netip.Addr]bool)
	for _, i := range selectEvicted(start, candidates, 50) {
		require.False(t, seen[candidates[i].caller])
		seen[candidates[i].caller] = true
	}
	require.Len(t, seen, 50)
}

// TestServingConnectionsAreNotClosed guards against requests that may run and lose their answers for a new connection.
func TestServingConnectionsAreNotClosed(t *testing.T) {
	candidates := []candidate{before(crowdHost, serving, time.Hour)}
	require.Empty(t, selectEvicted(start, candidates, 1))
}

// BenchmarkSelectEvicted selects a batch from the connections of a host with 12,300 descriptors.
func BenchmarkSelectEvicted(b *testing.B) {
	var candidates []candidate
	for n := range 6000 {
		caller := netip.AddrFrom4([4]byte{192, 0, byte(n % 7), byte(n % 251)})
		candidates = append(candidates, before(caller, phase(n%int(serving+1)), time.Duration(n)*time.Millisecond))
	}
	for b.Loop() {
		selectEvicted(start, candidates, len(candidates)/evictedFraction)
	}
}
