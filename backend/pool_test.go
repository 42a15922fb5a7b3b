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

// servers lists count backend servers of a service in a region.
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

// clock is a settable clock.
type clock struct {
	now time.Time
}

func (c *clock) read() time.Time { return c.now }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

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

// fill reserves until the pool refuses, and returns the refusal.
func fill(p *backend.Pool) ([]*backend.Reservation, error) {
	var held []*backend.Reservation
	for {
		r, err := p.Reserve("storefront", "accra")
		if err != nil {
			return held, err
		}
		held = append(held, r)
	}
}

func TestChooseNeverExceedsSlots(t *testing.T) {
	p, _ := newPool(servers("storefront", "accra", 8))
	held, err := fill(p)
	var full *backend.NoFreeSlotError
	require.ErrorAs(t, err, &full)
	require.Len(t, held, 32)
	p.Release(held[0], backend.Responded{})
	p.Release(held[0], backend.Responded{})
	again, _ := fill(p)
	require.Len(t, again, 1)
	require.Zero(t, p.ViolationCount())
}

func TestChooseWithoutServers(t *testing.T) {
	p := &backend.Pool{}
	_, err := p.Reserve("storefront", "accra")
	var none *backend.NoServerError
	require.ErrorAs(t, err, &none)
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	machines := servers("storefront", "accra", 2)
	p, c := newPool(machines)
	held, _ := fill(p)
	p.RecordProbe(backend.Probe{
		Server:   machines[0].Name,
		SentAt:   c.now,
		Draining: true,
	})
	for _, r := range held {
		p.Release(r, backend.Responded{})
	}
	c.pass(backend.DrainGracePeriod + time.Second)
	again, _ := fill(p)
	require.Len(t, again, 4)
	for _, r := range again {
		require.Equal(t, machines[1].Name, r.Server)
	}
	require.Zero(t, p.ViolationCount())
}

func TestShedLeavingStopsNewWork(t *testing.T) {
	machines := servers("storefront", "accra", 1)
	p, _ := newPool(machines)
	r, err := p.Reserve("storefront", "accra")
	require.NoError(t, err)
	p.Release(r, backend.Rejected{
		Draining: true,
	})
	_, err = p.Reserve("storefront", "accra")
	var none *backend.NoServerError
	require.ErrorAs(t, err, &none)
}

func TestFailuresEjectAMinority(t *testing.T) {
	machines := servers("storefront", "accra", 5)
	p, c := newPool(machines)
	bad := map[string]bool{
		machines[0].Name: true,
		machines[1].Name: true,
		machines[2].Name: true,
	}
	for range 300 {
		r, err := p.Reserve("storefront", "accra")
		require.NoError(t, err)
		outcome := backend.Outcome(backend.Responded{})
		if bad[r.Server] {
			outcome = backend.Failed{}
		}
		p.Release(r, outcome)
		c.pass(time.Millisecond)
	}
	ejected := 0
	for _, v := range p.Servers() {
		if v.State == backend.Ejected {
			ejected++
			require.True(t, bad[v.Server])
		}
	}
	require.Equal(t, 2, ejected)
	require.Zero(t, p.ViolationCount())
}

func TestRegionIsLostAndReturns(t *testing.T) {
	machines := servers("storefront", "accra", 5)
	p, c := newPool(machines)
	var lost *backend.RegionLostError
	for range 100 {
		r, err := p.Reserve("storefront", "accra")
		if err != nil {
			require.ErrorAs(t, err, &lost)
			break
		}
		p.Release(r, backend.Failed{})
	}
	require.True(t, p.SlotUsage("storefront", "accra").RegionLost)
	c.pass(backend.MinRegionLostTime)
	for _, m := range machines[:3] {
		p.RecordProbe(backend.Probe{
			Server: m.Name,
			SentAt: c.now,
		})
	}
	_, err := p.Reserve("storefront", "accra")
	require.NoError(t, err)
}

func TestNewServersWarm(t *testing.T) {
	machines := servers("storefront", "accra", 2)
	p, c := newPool(machines[:1])
	p.SetMachines(machines)
	held, _ := fill(p)
	require.Len(t, held, 5)
	c.pass(backend.SlowStartTime)
	more, _ := fill(p)
	require.Len(t, more, 3)
}

func TestStoppedProbesKeepState(t *testing.T) {
	machines := servers("storefront", "accra", 2)
	p, c := newPool(machines)
	p.RecordProbe(backend.Probe{
		Server:   machines[0].Name,
		SentAt:   c.now,
		Draining: true,
	})
	c.pass(time.Hour)
	held, _ := fill(p)
	require.Len(t, held, 4)
	p.RecordProbe(backend.Probe{
		Server: machines[0].Name,
		SentAt: c.now.Add(-backend.MaxProbeAge - time.Second),
	})
	_, err := p.Reserve("storefront", "accra")
	var full *backend.NoFreeSlotError
	require.ErrorAs(t, err, &full)
}
