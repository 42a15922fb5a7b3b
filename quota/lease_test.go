package quota_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
)

const (
	leaseStep = 500 * time.Millisecond
	// lentTime is how long others use what a host has lent after it stopped lending.
	lentTime = 1300 * time.Millisecond
	// recoverTime is how long after it was replaced a fleet must divide the whole again.
	recoverTime = 15 * time.Second
)

// leaseRecord is a host's record in the simulated store.
type leaseRecord struct {
	part, version int
	isSuspected   bool
}

// leaseHost is a simulated host.
type leaseHost struct {
	claim quota.PartClaim
	lease quota.Lease
	// version is that of its record as it was last read or written, and copy the records as they were last read.
	version   int
	copy      map[string]leaseRecord
	changedAt map[string]time.Time
	heardAt   map[string]time.Time
	holders   map[string]uint64
	answered  map[string]time.Time
	// usedAt is when it last lent a part, and used what that was.
	usedAt time.Time
	used   int
	// group is that of the hosts that reach each other. isMute is true if the host hears the others but they don't hear it.
	group       int
	isMute      bool
	hasNoStore  bool
	frozenUntil time.Time
}

// leaseFleet simulates hosts that own parts on leases, and the store that has their records.
type leaseFleet struct {
	now         time.Time
	random      *rand.Rand
	hosts       map[string]*leaseHost
	records     map[string]leaseRecord
	revision    int
	isStoreAway bool
	names       int
}

func newLeaseFleet(seed uint64) *leaseFleet {
	return &leaseFleet{
		now:     time.Unix(1000, 0),
		random:  rand.New(rand.NewPCG(seed, 51)),
		hosts:   make(map[string]*leaseHost),
		records: make(map[string]leaseRecord),
	}
}

func (f *leaseFleet) put(name string, record leaseRecord) int {
	f.revision++
	record.version = f.revision
	f.records[name] = record
	return f.revision
}

// add starts a host of a new name.
func (f *leaseFleet) add() {
	f.names++
	f.hosts[hostName(f.names)] = &leaseHost{
		changedAt: make(map[string]time.Time),
		heardAt:   make(map[string]time.Time),
		holders:   make(map[string]uint64),
		answered:  make(map[string]time.Time),
	}
}

// reach reports whether two running hosts answer each other.
func (f *leaseFleet) reach(a, b *leaseHost) bool {
	return a.group == b.group && !f.now.Before(a.frozenUntil) && !f.now.Before(b.frozenUntil)
}

// members returns the records that a host knows as members, and the hash of their names.
func (f *leaseFleet) members(self string, h *leaseHost) ([]quota.Member, uint64) {
	names := slices.Collect(maps.Keys(h.copy))
	for name, at := range h.heardAt {
		if f.now.Sub(at) <= 2*time.Second {
			names = append(names, name)
		}
	}
	names = append(names, self)
	slices.Sort(names)
	names = slices.Compact(names)
	var members []quota.Member
	for _, name := range names {
		member := quota.Member{
			Name:     name,
			State:    quota.MemberUnknown,
			Stated:   h.copy[name].part,
			IsHolder: true,
		}
		if name == self || f.now.Sub(h.heardAt[name]) <= silenceTime {
			member.State = quota.MemberActive
		}
		if name == self {
			member.Stated = h.claim.Stated()
		}
		members = append(members, member)
	}
	division := quota.Division{
		Holders: names,
	}
	return members, division.Hash()
}

// step lets all hosts that are not frozen act once.
func (f *leaseFleet) step() {
	f.now = f.now.Add(leaseStep)
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		h := f.hosts[name]
		if f.now.Before(h.frozenUntil) {
			continue
		}
		_, hash := f.members(name, h)
		for other, o := range f.hosts {
			if other != name && f.reach(h, o) && !h.isMute {
				o.heardAt[name], o.holders[name], h.answered[other] = f.now, hash, f.now
			}
		}
		f.use(name, h)
		if !h.hasNoStore && !f.isStoreAway {
			f.read(name, h)
			f.decide(name, h)
			f.reclaim(name, h)
		}
	}
}

// use extends the lease, and uses and lends the part.
func (f *leaseFleet) use(name string, h *leaseHost) {
	members, hash := f.members(name, h)
	var witnesses []quota.Witness
	for _, m := range members {
		if m.Name != name {
			witnesses = append(witnesses, quota.Witness{
				IsLive:     f.now.Sub(h.heardAt[m.Name]) <= 2*time.Second,
				Holders:    h.holders[m.Name],
				AnsweredAt: h.answered[m.Name],
			})
		}
	}
	h.lease.Extend(f.now, hash, witnesses)
	usable := 0
	if h.lease.IsValid(f.now) {
		usable = h.claim.Usable(quota.NewTargetPart(name, members))
	} else {
		h.claim.EndLease()
	}
	if usable > 0 || f.now.Sub(h.usedAt) > lentTime {
		h.used, h.usedAt = usable, f.now
	}
}

// read reads the store: the copy of all records, often late, and the host's own record.
func (f *leaseFleet) read(name string, h *leaseHost) {
	if f.random.Float64() < 0.7 {
		for other, record := range f.records {
			if h.copy[other].version != record.version {
				h.changedAt[other] = f.now
			}
		}
		h.copy = maps.Clone(f.records)
	}
	own, isFound := f.records[name]
	switch {
	case !isFound:
		// A record that another host removed is one whose lease had ended.
		h.claim.SetStated(0)
		h.version = f.put(name, leaseRecord{})
	case own.isSuspected:
		h.version = f.put(name, leaseRecord{
			part: own.part,
		})
	}
	if age, wasConfirmed := h.lease.Age(f.now); !wasConfirmed || age > 2*time.Second {
		h.lease.Confirm(f.now)
	}
}

// decide lets a host do what it decides about its part.
func (f *leaseFleet) decide(name string, h *leaseHost) {
	members, _ := f.members(name, h)
	switch action := h.claim.Next(f.now, quota.NewTargetPart(name, members), float64(h.used)/quota.WholePart, members).(type) {
	case quota.StatePart:
		h.version = f.put(name, leaseRecord{
			part: action.Part,
		})
		h.claim.SetStated(action.Part)
	case quota.ConfirmPart:
		var stated []quota.Member
		for other, record := range f.records {
			stated = append(stated, quota.Member{
				Name:   other,
				Stated: record.part,
			})
		}
		h.claim.Confirm(stated)
	case quota.KeepPart:
	}
}

// reclaim marks and removes the records of others by the host's copy of them.
func (f *leaseFleet) reclaim(name string, h *leaseHost) {
	for other, record := range h.copy {
		isUnchanged := f.records[other].version == record.version
		if other == name || !isUnchanged {
			continue
		}
		switch quota.NextReclaimAction(f.now, quota.ObservedRecord{
			IsLeased:    true,
			IsSuspected: record.isSuspected,
			ChangedAt:   h.changedAt[other],
			HeardAt:     h.heardAt[other],
		}).(type) {
		case quota.SuspectRecord:
			record.isSuspected = true
			f.put(other, record)
		case quota.RemoveRecord:
			delete(f.records, other)
		case quota.KeepRecord:
		}
	}
}

// sum returns the sum of the parts that are in use: by hosts, and for a time by those to which hosts have lent.
func (f *leaseFleet) sum() int {
	sum := 0
	for _, h := range f.hosts {
		isUsing := !f.now.Before(h.frozenUntil) || f.now.Sub(h.usedAt) <= lentTime
		if isUsing {
			sum += h.used
		}
	}
	return sum
}

// change lets something happen: hosts are lost, added, cut off together, frozen, or the store is away.
func (f *leaseFleet) change() {
	var near []*leaseHost
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		h := f.hosts[name]
		if h.group == 0 && !h.isMute && len(h.copy) >= len(f.hosts) {
			near = append(near, h)
		}
	}
	switch action := f.random.IntN(100); {
	case action < 2 && len(f.hosts) < 6 && !f.isStoreAway:
		f.add()
	case action == 2 && len(near) > 1:
		maps.DeleteFunc(f.hosts, func(_ string, h *leaseHost) bool { return h == near[0] })
	case action == 3 && len(near) > 2:
		near[0].group, near[1].group = 1, 1
		near[0].hasNoStore, near[1].hasNoStore = true, true
	case action == 9 && len(near) > 1:
		near[0].group = 2
	case action == 10 && len(near) > 1:
		near[0].isMute = true
	case action < 16 && action > 10:
		for _, h := range f.hosts {
			h.hasNoStore = h.hasNoStore || h.group == 2 || h.isMute
		}
	case action == 4 && len(near) > 1:
		near[0].frozenUntil = f.now.Add(time.Duration(f.random.IntN(20)) * time.Second)
	case action == 5:
		f.isStoreAway = !f.isStoreAway
	case action < 9:
		for _, h := range f.hosts {
			h.group, h.isMute, h.hasNoStore = 0, false, false
		}
	}
}

// TestLeasesEndBeforeOthersTakeThem guards against a part that is used twice: by those that took it from a host that they had lost, and
// by that host, which was frozen, or cut off from the store alone or together with another, and goes on.
func TestLeasesEndBeforeOthersTakeThem(t *testing.T) {
	for seed := range uint64(200) {
		f := newLeaseFleet(seed)
		f.add()
		f.add()
		for range 600 {
			f.change()
			f.step()
			require.LessOrEqual(t, f.sum(), quota.WholePart, "seed %d at %v", seed, f.now)
		}
	}
}

// TestFleetThatWasReplacedDividesTheRates guards against a fleet that serves nothing for good, since hosts that were lost, at once
// or one after the other, keep their parts of the teams' rates.
func TestFleetThatWasReplacedDividesTheRates(t *testing.T) {
	for _, gap := range []time.Duration{0, 4 * time.Second} {
		f := newLeaseFleet(1)
		run := func(duration time.Duration) {
			for end := f.now.Add(duration); f.now.Before(end); {
				f.step()
				require.LessOrEqual(t, f.sum(), quota.WholePart)
			}
		}
		for range 3 {
			f.add()
		}
		run(30 * time.Second)
		require.InDelta(t, quota.WholePart, f.sum(), quota.WholePart/100)
		for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
			delete(f.hosts, name)
			f.add()
			run(gap)
		}
		run(recoverTime)
		require.InDelta(t, quota.WholePart, f.sum(), quota.WholePart/100, "gap %v", gap)
	}
}

// TestTokensEndWithTheLease guards against a host that was frozen, and uses its part or lends it before it notices that the lease has
// ended.
func TestTokensEndWithTheLease(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &quota.Limiter{
		Clock: func() time.Time { return now },
	}
	l.SetTeams([]routing.Team{{
		Name:  "north",
		Rate:  100,
		Burst: 100,
	}})
	l.SetDivision(quota.Division{
		Self:             "a",
		Members:          []string{"a"},
		Holders:          []string{"a"},
		Part:             1,
		LeaseConfirmedAt: now,
	})
	now = now.Add(quota.LeaseTime)
	_, ok := l.TakeToken("north")
	require.True(t, ok)
	now = now.Add(20 * time.Second)
	l.TakeToken("north")
	_, ok = l.TakeToken("north")
	require.False(t, ok, "only the one request that any host accepts")
	require.False(t, l.Lend(quota.LoanRequest{
		Borrower: "b",
		Sequence: 1,
		Demand:   quota.Demand{"north": 10},
	}).HasPart)
}
