/*
Package loopback gives tests the addresses on which they start real servers.

# Usage

	settings.CallerAddress = loopback.MustFreeAddress()
*/
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// The ports from which addresses are selected, the last one not included. The system gives
// none of them to connections or to listeners on port 0.
const (
	firstPort = 12_000
	endPort   = 32_000
)

// maxAttempts is how many ports are tried until one is free.
const maxAttempts = 1000

// given holds the ports that this process has given out.
var given sync.Map

// NoFreePortError reports that no port was free.
type NoFreePortError struct {
	Attempts int
}

func (e *NoFreePortError) Error() string {
	return fmt.Sprintf("none of %d loopback ports is free", e.Attempts)
}

// MustFreeAddress returns a loopback address on which nothing listened when it was checked, and that
// this process has not given out before. No connection takes its port before the test's server listens; in
// another process a test may, at a chance of one in many thousands. It panics with a
// [NoFreePortError] if there is none.
func MustFreeAddress() netip.AddrPort {
	for range maxAttempts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), firstPort+rand.N[uint16](endPort-firstPort))
		if _, isGiven := given.LoadOrStore(address.Port(), true); isGiven {
			continue
		}
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		if listener.Close() == nil {
			return address
		}
	}
	panic(&NoFreePortError{
		Attempts: maxAttempts,
	})
}
