package steer_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
)

// sharingStart is when the traffic starts, once the limits are divided.
const sharingStart = 20 * time.Second

// allocationStore keeps the allocation of the limits.
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

// useHolders makes the hosts take limits and slots from holders that exchange
// messages, in place of the fleet's exact counts.
func (f *fleet) useHolders() {
	store := &allocationStore{}
	holders := make(map[string]*share.Limiter)
	var live []share.ProcessID
	for _, e := range f.entries {
		h := &share.Limiter{
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
		h.SetLimits(steer.FleetLimits(f.table, machines, time.Minute))
		e.router.Limits = steer.SharedLimits{
			Holder: h,
		}
		e.pool.Slots = &backend.Shared{
			Holder: h,
		}
		holders[e.name] = h
		live = append(live, h.ProcessID())
	}
	for _, e := range f.entries {
		h := holders[e.name]
		h.SetLiveProcesses(live)
		keeper := &share.AllocationSyncer{
			Store:   store,
			Limiter: h,
		}
		f.after(0, func() { f.share(holders, h, keeper) })
	}
}

// share is a holder's turn.
func (f *fleet) share(holders map[string]*share.Limiter, h *share.Limiter, keeper *share.AllocationSyncer) {
	f.after(share.TickInterval, func() { f.share(holders, h, keeper) })
	_ = keeper.Refresh(context.Background())
	f.deliver(holders, h.Tick())
}

func (f *fleet) deliver(holders map[string]*share.Limiter, envelopes []share.Envelope) {
	for _, e := range envelopes {
		f.after(linkDelay, func() { f.deliver(holders, holders[e.To].Receive(e.Message)) })
	}
}

// TestDrainWithSharedLimits drains a region with the limits divided among the
// hosts.
func TestDrainWithSharedLimits(t *testing.T) {
	t.Log("user       drain                      seed  moves above cap  over slots  drain/least  refused")
	for _, u := range users {
		for _, c := range []scenario{
			{
				name: "no fault",
			},
			{
				name: "rates a tenth",
				faults: faults{
					wrong: true,
				},
			},
		} {
			for seed := uint64(1); seed <= *seeds; seed++ {
				c.faults.drained = drained
				c.faults.start = sharingStart
				f := newFleet(u, seed, c.faults)
				f.useHolders()
				f.run(300 * time.Second)
				t.Logf("%-10s %-25s  %4d  %15d  %10d  %11.2f  %v of %d", u.name, c.name, seed, f.overCap(), f.overSlots, f.drainRatio(), f.refused, f.total())
				require.Zero(t, f.violations)
				require.Zero(t, f.overCap())
				require.Zero(t, f.overSlots)
			}
		}
	}
}

func (f *fleet) total() int {
	sum := 0
	for _, n := range f.sent {
		sum += n
	}
	return sum
}
