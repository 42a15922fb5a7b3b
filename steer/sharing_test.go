package steer_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/steer"
)

// sharedTrafficStart is when the traffic starts, after the limits have been
// divided among the hosts.
const sharedTrafficStart = 20 * time.Second

// allocationStore is an object store that holds only the allocation of the
// limits.
type allocationStore struct {
	objectstore.Store
	object objectstore.Object
}

func (s *allocationStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	if s.object.Version == 0 {
		return objectstore.Object{}, &objectstore.NotFoundError{
			Key: key,
		}
	}
	return s.object, nil
}

func (s *allocationStore) Put(_ context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	var expected objectstore.Version
	if c, ok := condition.(objectstore.IfVersion); ok {
		expected = c.Version
	}
	if s.object.Version != expected {
		return 0, &objectstore.ConflictError{
			Key:            key,
			CurrentVersion: s.object.Version,
		}
	}
	s.object = objectstore.Object{
		Key:     key,
		Value:   value,
		Version: expected + 1,
	}
	return s.object.Version, nil
}

// useSharedLimits makes the hosts take tokens and slots from limiters that
// exchange messages, instead of from the fleet's exact counts.
func (f *fleet) useSharedLimits() {
	store := &allocationStore{}
	limiters := make(map[string]*globallimit.Limiter)
	var live []globallimit.ProcessID
	for _, e := range f.entryHosts {
		limiter := &globallimit.Limiter{
			Host:        e.name,
			Incarnation: 1,
			SoleProcess: true,
			Clock:       func() time.Time { return f.now },
			Rand:        rand.New(rand.NewPCG(f.random.Uint64(), 0)),
		}
		var machines []objectstore.Machine
		for _, s := range f.servers {
			machines = append(machines, s.machine)
		}
		limiter.SetLimits(steer.FleetLimits(f.table, machines, time.Minute))
		e.router.Limiter = steer.SharedLimiter{
			Limiter: limiter,
		}
		e.pool.SlotLimiter = &backend.SharedSlotLimiter{
			Limiter: limiter,
		}
		limiters[e.name] = limiter
		live = append(live, limiter.ProcessID())
	}
	for _, e := range f.entryHosts {
		limiter := limiters[e.name]
		limiter.SetLiveProcesses(live)
		syncer := &globallimit.AllocationSyncer{
			Store:   store,
			Limiter: limiter,
		}
		f.schedule(0, func() { f.runLimiter(limiters, limiter, syncer) })
	}
}

// runLimiter runs one tick of a limiter and schedules the next.
func (f *fleet) runLimiter(limiters map[string]*globallimit.Limiter, limiter *globallimit.Limiter, syncer *globallimit.AllocationSyncer) {
	f.schedule(globallimit.TickInterval, func() { f.runLimiter(limiters, limiter, syncer) })
	_ = syncer.Refresh(context.Background())
	f.deliverEnvelopes(limiters, limiter.Tick())
}

func (f *fleet) deliverEnvelopes(limiters map[string]*globallimit.Limiter, envelopes []globallimit.Envelope) {
	for _, e := range envelopes {
		f.schedule(linkDelay, func() { f.deliverEnvelopes(limiters, limiters[e.To].Receive(e.Message)) })
	}
}

// TestDrainWithSharedLimitsStaysUnderShiftCap guards against a drain that
// moves more requests than the shift caps allow when the limits are divided
// among the hosts, so that each host counts only its own part.
func TestDrainWithSharedLimitsStaysUnderShiftCap(t *testing.T) {
	t.Log("user       drain                      seed  moves above cap  over slots    drain/min  rejected")
	for _, d := range deployments {
		for _, c := range []scenario{
			{
				name: "no fault",
			},
			{
				name: "rates understated",
				faults: faults{
					understatedRates: true,
				},
			},
		} {
			for seed := uint64(1); seed <= *seeds; seed++ {
				c.faults.regionDrained = drainStart
				c.faults.trafficStart = sharedTrafficStart
				f := newFleet(d, seed, c.faults)
				f.useSharedLimits()
				f.run(300 * time.Second)
				t.Logf("%-10s %-25s  %4d  %15d  %10d  %11.2f  %v of %d", d.name, c.name, seed, f.movesOverCap(), f.requestsOverSlots, f.drainRatio(), f.rejected, f.totalSent())
				require.Zero(t, f.violations)
				require.Zero(t, f.movesOverCap())
				require.Zero(t, f.requestsOverSlots)
			}
		}
	}
}

func (f *fleet) totalSent() int {
	sum := 0
	for _, n := range f.sent {
		sum += n
	}
	return sum
}
