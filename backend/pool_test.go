package backend_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/objectstore"
)

// servers returns a machine list of count backend servers with 4 slots each.
func servers(service, region string, count int) []objectstore.Machine {
	machines := make([]objectstore.Machine, 0, count)
	for i := range count {
		machines = append(machines, objectstore.Machine{
			Name:    fmt.Sprintf("%s-%s-%d", service, region, i),
			Kind:    objectstore.BackendServer,
			Region:  region,
			Zone:    fmt.Sprintf("%s-%d", region, i%2),
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i)),
			State:   objectstore.Live,
			Service: service,
			Slots:   4,
		})
	}
	return machines
}

// clock is a fake clock.
type clock struct {
	now time.Time
}

func (c *clock) read() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newPool(machines []objectstore.Machine) (*backend.Pool, *clock) {
	c := &clock{
		now: time.Unix(1_000_000, 0),
	}
	p := &backend.Pool{
		Clock:  c.read,
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	p.SetMachines(machines)
	return p, c
}

// reserveAll reserves slots until the pool returns an error.
func reserveAll(p *backend.Pool) ([]*backend.Reservation, error) {
	var reservations []*backend.Reservation
	for {
		reservation, err := p.Reserve("storefront", "accra")
		if err != nil {
			return reservations, err
		}
		reservations = append(reservations, reservation)
	}
}

func TestReserveNeverExceedsSlots(t *testing.T) {
	p, _ := newPool(servers("storefront", "accra", 8))
	reservations, err := reserveAll(p)
	var noSlot *backend.NoFreeSlotError
	require.ErrorAs(t, err, &noSlot)
	require.Len(t, reservations, 32)
	p.Release(reservations[0], backend.Responded{})
	p.Release(reservations[0], backend.Responded{})
	again, _ := reserveAll(p)
	require.Len(t, again, 1)
	require.Zero(t, p.ViolationCount())
}

func TestReserveFailsWithoutServers(t *testing.T) {
	p := &backend.Pool{}
	_, err := p.Reserve("storefront", "accra")
	var noServer *backend.NoServerError
	require.ErrorAs(t, err, &noServer)
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	machines := servers("storefront", "accra", 2)
	p, c := newPool(machines)
	reservations, _ := reserveAll(p)
	p.RecordProbe(backend.Probe{
		Server:   machines[0].Name,
		SentAt:   c.now,
		Draining: true,
	})
	for _, reservation := range reservations {
		p.Release(reservation, backend.Responded{})
	}
	c.advance(backend.DrainGracePeriod + time.Second)
	again, _ := reserveAll(p)
	require.Len(t, again, 4)
	for _, reservation := range again {
		require.Equal(t, machines[1].Name, reservation.Server)
	}
	require.Zero(t, p.ViolationCount())
}

func TestDrainingRejectionStopsNewRequests(t *testing.T) {
	machines := servers("storefront", "accra", 1)
	p, _ := newPool(machines)
	reservation, err := p.Reserve("storefront", "accra")
	require.NoError(t, err)
	p.Release(reservation, backend.Rejected{
		Draining: true,
	})
	_, err = p.Reserve("storefront", "accra")
	var noServer *backend.NoServerError
	require.ErrorAs(t, err, &noServer)
}

func TestFailuresEjectOnlyAMinority(t *testing.T) {
	machines := servers("storefront", "accra", 5)
	p, c := newPool(machines)
	failing := map[string]bool{
		machines[0].Name: true,
		machines[1].Name: true,
		machines[2].Name: true,
	}
	for range 300 {
		reservation, err := p.Reserve("storefront", "accra")
		require.NoError(t, err)
		outcome := backend.Outcome(backend.Responded{})
		if failing[reservation.Server] {
			outcome = backend.Failed{}
		}
		p.Release(reservation, outcome)
		c.advance(time.Millisecond)
	}
	ejected := 0
	for _, status := range p.Servers() {
		if status.State == backend.Ejected {
			ejected++
			require.True(t, failing[status.Server])
		}
	}
	require.Equal(t, 2, ejected)
	require.Zero(t, p.ViolationCount())
}

func TestLostRegionRecoversByProbes(t *testing.T) {
	machines := servers("storefront", "accra", 5)
	p, c := newPool(machines)
	var regionLost *backend.RegionLostError
	for range 100 {
		reservation, err := p.Reserve("storefront", "accra")
		if err != nil {
			require.ErrorAs(t, err, &regionLost)
			break
		}
		p.Release(reservation, backend.Failed{})
	}
	require.True(t, p.SlotUsage("storefront", "accra").RegionLost)
	c.advance(backend.MinRegionLostTime)
	for _, m := range machines[:3] {
		p.RecordProbe(backend.Probe{
			Server: m.Name,
			SentAt: c.now,
		})
	}
	_, err := p.Reserve("storefront", "accra")
	require.NoError(t, err)
}

func TestNewServersBeginWithSlowStart(t *testing.T) {
	machines := servers("storefront", "accra", 2)
	p, c := newPool(machines[:1])
	p.SetMachines(machines)
	reservations, _ := reserveAll(p)
	require.Len(t, reservations, 5)
	c.advance(backend.SlowStartTime)
	more, _ := reserveAll(p)
	require.Len(t, more, 3)
}

func TestServerKeepsStateWhenProbesStop(t *testing.T) {
	machines := servers("storefront", "accra", 2)
	p, c := newPool(machines)
	p.RecordProbe(backend.Probe{
		Server:   machines[0].Name,
		SentAt:   c.now,
		Draining: true,
	})
	c.advance(time.Hour)
	reservations, _ := reserveAll(p)
	require.Len(t, reservations, 4)
	p.RecordProbe(backend.Probe{
		Server: machines[0].Name,
		SentAt: c.now.Add(-backend.MaxProbeAge - time.Second),
	})
	_, err := p.Reserve("storefront", "accra")
	var noSlot *backend.NoFreeSlotError
	require.ErrorAs(t, err, &noSlot)
}
