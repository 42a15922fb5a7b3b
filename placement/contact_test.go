package placement_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
)

// contactPool is a pool of six servers with a clock.
type contactPool struct {
	*placement.Pool
	now time.Time
}

func newContactPool() *contactPool {
	p := &contactPool{
		Pool: newPool(map[string]int{"accra": 4, "kumasi": 2}),
		now:  time.Unix(1000, 0),
	}
	p.Clock = func() time.Time { return p.now }
	return p
}

// sendToAll sends a request to each server and returns the reservations.
func (p *contactPool) sendToAll(t *testing.T) []*placement.Reservation {
	var reservations []*placement.Reservation
	var names []string
	for range 6 {
		request := newRequest("", 0)
		request.ExcludedServers = names
		reservation := acquire(t, p.Pool, request)
		reservations = append(reservations, reservation)
		names = append(names, reservation.Server.Name)
	}
	return reservations
}

// TestSilenceOfServersIsSuspectedOnlyWithoutAnyResponse replays links that hang, and servers that are
// slow while some respond.
func TestSilenceOfServersIsSuspectedOnlyWithoutAnyResponse(t *testing.T) {
	pool := newContactPool()
	reservations := pool.sendToAll(t)
	pool.now = pool.now.Add(400 * time.Millisecond)
	require.False(t, pool.SuspectsCutOff(), "too early")
	pool.Release(reservations[0], placement.Responded{})
	pool.now = pool.now.Add(2 * time.Second)
	require.False(t, pool.SuspectsCutOff(), "a server has responded, and no request was sent since")
	pool.sendToAll(t)
	pool.now = pool.now.Add(600 * time.Millisecond)
	require.True(t, pool.SuspectsCutOff())
}

// TestUnreachableServersAreSuspectedIfSeveral replays links that are reset, and one server that ended.
func TestUnreachableServersAreSuspectedIfSeveral(t *testing.T) {
	pool := newContactPool()
	reservations := pool.sendToAll(t)
	for n, reservation := range reservations[:3] {
		require.False(t, pool.SuspectsCutOff(), "%d servers", n)
		pool.Release(reservation, placement.NoResponse{})
	}
	require.True(t, pool.SuspectsCutOff())
	for _, reservation := range reservations[3:] {
		pool.Release(reservation, placement.Responded{})
	}
	require.True(t, pool.SuspectsCutOff(), "open connections may live on while new ones are refused")
	pool.now = pool.now.Add(3 * time.Second)
	require.False(t, pool.SuspectsCutOff())
}

// TestServersAreInUseAtOnceWhenLinksAreBack guards against servers that stay ejected for what requests
// met while the host was cut off.
func TestServersAreInUseAtOnceWhenLinksAreBack(t *testing.T) {
	pool := newContactPool()
	for range 4 {
		for _, reservation := range pool.sendToAll(t) {
			pool.Release(reservation, placement.NoResponse{})
		}
		require.True(t, pool.SuspectsCutOff())
	}
	require.True(t, pool.SetCutOff(true))
	require.False(t, pool.SetCutOff(true))
	require.True(t, pool.SetCutOff(false))
	require.False(t, pool.SuspectsCutOff())
	// A server that is ejected would be passed over in favour of one that is not.
	one := acquire(t, pool.Pool, newRequest("17", 0))
	pool.Release(one, placement.NoResponse{})
	require.NotEqual(t, one.Server.Name, acquire(t, pool.Pool, newRequest("17", 0)).Server.Name)
}

// TestProbeTargetsAreNearAndFar requires a server of each distance, so that a host that is cut off from
// other zones only is not taken to reach none.
func TestProbeTargetsAreNearAndFar(t *testing.T) {
	servers := newServers(map[string]int{"accra": 4, "kumasi": 4})
	for n := range servers {
		servers[n].Zone = fmt.Sprint(servers[n].Region, "-", n%2)
	}
	pool := &placement.Pool{
		Region: "accra",
	}
	pool.SetServers(servers)
	zones := make(map[string]string)
	for _, s := range servers {
		zones[s.Address.String()] = s.Zone
	}
	targets := pool.ProbeTargets("accra-0")
	require.Len(t, targets, 3)
	require.Equal(t, "accra-0", zones[targets[0].String()])
	require.Equal(t, "accra-1", zones[targets[1].String()])
	require.Contains(t, zones[targets[2].String()], "kumasi")
}

// TestNeighborsAreTheNearestOthers guards against a crash that is told from a failed zone by servers of other zones.
func TestNeighborsAreTheNearestOthers(t *testing.T) {
	var machines []objectstore.Machine
	add := func(name, zone, region string) netip.AddrPort {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+len(machines)))
		machines = append(machines, objectstore.Machine{
			Name:    name,
			Kind:    objectstore.BackendServer,
			Region:  region,
			Zone:    zone,
			Address: address,
			State:   objectstore.Live,
			Service: service,
			Slots:   1,
		})
		return address
	}
	first, second := add("s-1", "accra-a", "accra"), add("s-2", "accra-a", "accra")
	alone := add("s-3", "accra-b", "accra")
	remote := add("s-4", "kumasi-a", "kumasi")
	pool := newPoolOf(machines)
	require.Equal(t, []netip.AddrPort{second}, pool.Neighbors(first))
	require.ElementsMatch(t, []netip.AddrPort{first, second}, pool.Neighbors(alone))
	require.Len(t, pool.Neighbors(remote), 3)
}
