package loopback_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/loopback"
)

// TestFreeAddressesAreNotThoseOfConnections guards against tests whose server cannot listen because a
// connection, or another test's server, took the port that was free when it was selected.
func TestFreeAddressesAreNotThoseOfConnections(t *testing.T) {
	seen := make(map[netip.AddrPort]bool)
	for range 200 {
		address := loopback.MustFreeAddress()
		require.False(t, seen[address])
		seen[address] = true
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		require.Less(t, address.Port(), netip.MustParseAddrPort(listener.Addr().String()).Port())
	}
}
