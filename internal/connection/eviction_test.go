package connection_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/connection"
)

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	crowdHost = netip.MustParseAddr("192.0.2.1")
	ordinary  = netip.MustParseAddr("192.0.2.2")
)

// before returns a candidate that made its last progress so long before start.
func before(caller netip.Addr, p connection.Phase, age time.Duration) connection.Candidate {
	return connection.Candidate{
		Caller:     caller,
		Phase:      p,
		ProgressAt: start.Add(-age),
	}
}

// TestOneAddressGivesUpItsOwnConnections guards against a crowd of 40 connections with unfinished headers from one address that
// takes the connections of a caller with three.
func TestOneAddressGivesUpItsOwnConnections(t *testing.T) {
	candidates := []connection.Candidate{
		before(ordinary, connection.Idle, 10*time.Second),
		before(ordinary, connection.InHeader, 4*time.Second),
		before(ordinary, connection.InBody, 9*time.Second),
	}
	for range 40 {
		candidates = append(candidates, before(crowdHost, connection.InHeader, 0))
	}
	selected := connection.SelectEvicted(start, candidates, 37)
	require.Len(t, selected, 37)
	for _, i := range selected {
		require.Equal(t, crowdHost, candidates[i].Caller)
	}
}

// TestConnectionsWithoutProgressAreClosedInOrder guards against requests that are lost while other connections wait for nothing:
// one address has connections of all kinds.
func TestConnectionsWithoutProgressAreClosedInOrder(t *testing.T) {
	candidates := []connection.Candidate{
		before(crowdHost, connection.Serving, time.Minute),
		before(crowdHost, connection.InBody, 20*time.Second),
		before(crowdHost, connection.InBody, 30*time.Second),
		before(crowdHost, connection.InHeader, 3*time.Second),
		before(crowdHost, connection.Idle, 2*time.Second),
		before(crowdHost, connection.Idle, 5*time.Second),
		before(crowdHost, connection.Closing, 1*time.Second),
		before(crowdHost, connection.Idle, connection.QuietTime/2),
		before(crowdHost, connection.InBody, connection.QuietTime/2),
	}
	require.Equal(t, []int{6, 5, 4, 3, 2, 1, 7, 8}, connection.SelectEvicted(start, candidates, len(candidates)))
}

// TestConnectionsInUseAreSparedFromANewCrowd guards against a crowd that opens 100 connections a moment ago from the
// address of an ordinary caller, whose connections were idle for a moment between two requests.
func TestConnectionsInUseAreSparedFromANewCrowd(t *testing.T) {
	candidates := []connection.Candidate{before(crowdHost, connection.Idle, 10*time.Millisecond)}
	for range 100 {
		candidates = append(candidates, before(crowdHost, connection.InHeader, 500*time.Millisecond))
	}
	require.NotContains(t, connection.SelectEvicted(start, candidates, 100), 0)
}

// TestAddressesWithEqualCountsShareTheLoss guards against a crowd of 50 addresses with two connections each, of which one
// address would lose all.
func TestAddressesWithEqualCountsShareTheLoss(t *testing.T) {
	var candidates []connection.Candidate
	for n := range 100 {
		caller := netip.AddrFrom4([4]byte{192, 0, 2, byte(n / 2)})
		candidates = append(candidates, before(caller, connection.InHeader, time.Duration(n)*time.Second))
	}
	seen := make(map[netip.Addr]bool)
	for _, i := range connection.SelectEvicted(start, candidates, 50) {
		require.False(t, seen[candidates[i].Caller])
		seen[candidates[i].Caller] = true
	}
	require.Len(t, seen, 50)
}

// TestServingConnectionsAreNotClosed guards against requests that may run and lose their answers for a new connection.
func TestServingConnectionsAreNotClosed(t *testing.T) {
	candidates := []connection.Candidate{before(crowdHost, connection.Serving, time.Hour)}
	require.Empty(t, connection.SelectEvicted(start, candidates, 1))
}

// BenchmarkSelectEvicted selects a batch from the connections of a host with 12,300 descriptors.
func BenchmarkSelectEvicted(b *testing.B) {
	var candidates []connection.Candidate
	for n := range 6000 {
		caller := netip.AddrFrom4([4]byte{192, 0, byte(n % 7), byte(n % 251)})
		candidates = append(candidates, before(caller, connection.Phase(n%int(connection.Serving+1)), time.Duration(n)*time.Millisecond))
	}
	for b.Loop() {
		connection.SelectEvicted(start, candidates, len(candidates)/connection.EvictedFraction)
	}
}
