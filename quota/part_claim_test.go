package quota_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/quota"
)

// silenceTime is how long after its last report the simulated hosts take another to be silent.
const silenceTime = 20 * time.Second

// recordList simulates the records of hosts that join, leave, restart, are lost and are cut off. Each
// host reads the list late and hears the others late or not at all.
type recordList struct {
	now    time.Time
	random *rand.Rand
	// versions holds the parts that all records state, by name, the newest last.
	versions []map[string]int
	hosts    map[string]*claimant
}

// claimant is a running host.
type claimant struct {
	claim quota.PartClaim
	// inUse is the part that the host uses.
	inUse int
	// known is the version of the list that the host has read.
	known int
	// heardAt is when each other host was last heard, and knownAt when its record became known.
	heardAt, knownAt map[string]time.Time
	isCutOff         bool
	// isUnsure is true if the outcome of the last write is not known.
	isUnsure bool
}

func newRecordList(seed uint64) *recordList {
	return &recordList{
		now:      time.Unix(1000, 0),
		random:   rand.New(rand.NewPCG(seed, 11)),
		versions: []map[string]int{{}},
		hosts:    make(map[string]*claimant),
	}
}

func (l *recordList) newest() map[string]int { return l.versions[len(l.versions)-1] }

// write states a part in a host's record, or removes the record if the part is negative.
func (l *recordList) write(name string, part int) {
	changed := maps.Clone(l.newest())
	changed[name] = part
	if part < 0 {
		delete(changed, name)
	}
	l.versions = append(l.versions, changed)
}

// start starts a host, which resumes the part of its record if it has one.
func (l *recordList) start(name string) {
	if _, hasRecord := l.newest()[name]; !hasRecord {
		l.write(name, 0)
	}
	h := &claimant{
		known:   len(l.versions) - 1,
		heardAt: make(map[string]time.Time),
		knownAt: make(map[string]time.Time),
	}
	l.hosts[name] = h
	h.claim.Resume(l.newest()[name], l.members(name, l.newest()))
}

// members returns what a host knows of all members, given a list.
func (l *recordList) members(self string, list map[string]int) []quota.Member {
	h := l.hosts[self]
	var members []quota.Member
	for _, name := range slices.Sorted(maps.Keys(list)) {
		if h.knownAt[name].IsZero() {
			h.knownAt[name] = l.now
		}
		state := quota.MemberUnknown
		switch {
		case name == self || !h.heardAt[name].IsZero() && l.now.Sub(h.heardAt[name]) <= silenceTime:
			state = quota.MemberActive
		case l.now.Sub(h.knownAt[name]) > silenceTime:
			state = quota.MemberSilent
		}
		members = append(members, quota.Member{
			Name:     name,
			State:    state,
			Stated:   list[name],
			IsHolder: true,
		})
	}
	return members
}

// step lets every host read the list and hear the others with the given probability, and do what it
// decides about its part.
func (l *recordList) step(probability float64) {
	l.now = l.now.Add(300 * time.Millisecond)
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		for other, o := range l.hosts {
			if !h.isCutOff && !o.isCutOff && l.random.Float64() < probability {
				h.heardAt[other] = l.now
			}
		}
		if h.isCutOff {
			continue
		}
		if l.random.Float64() < probability {
			h.known += l.random.IntN(len(l.versions) - h.known)
		}
		if h.isUnsure {
			h.isUnsure = false
			h.claim.SetStated(l.newest()[name])
		}
		l.decide(name, h, probability)
	}
}

// decide lets a host do what it decides about its part. Its own record is known to it.
func (l *recordList) decide(name string, h *claimant, probability float64) {
	list := maps.Clone(l.versions[h.known])
	list[name] = h.claim.Stated()
	members := l.members(name, list)
	target := quota.NewTargetPart(name, members)
	// A smaller part takes effect late, because what is lent stays in use for some time.
	if usable := h.claim.Usable(target); usable > h.inUse || l.random.Float64() < 0.4 {
		h.inUse = usable
	}
	switch action := h.claim.Next(l.now, target, float64(h.inUse)/quota.WholePart, members).(type) {
	case quota.StatePart:
		isLost := l.random.Float64() > max(probability, 0.95)
		if !isLost || l.random.IntN(2) == 0 {
			l.write(name, action.Part)
		}
		if h.isUnsure = isLost; !isLost {
			h.claim.SetStated(action.Part)
		}
	case quota.ConfirmPart:
		h.claim.Confirm(l.members(name, l.newest()))
	case quota.KeepPart:
	}
}

// sum returns the sum of the parts that running hosts use.
func (l *recordList) sum() int {
	sum := 0
	for _, h := range l.hosts {
		sum += h.inUse
	}
	return sum
}

// change lets something happen to a host: it starts, leaves, is lost for good, restarts, or is cut off
// from the list and the others for some time.
func (l *recordList) change() {
	name := hostName(l.random.IntN(6))
	h, isRunning := l.hosts[name]
	_, hasRecord := l.newest()[name]
	switch action := l.random.IntN(100); {
	case action < 3 && !isRunning && !hasRecord:
		l.start(name)
	case action == 3 && isRunning:
		l.write(name, -1)
		delete(l.hosts, name)
	case action == 4 && isRunning:
		delete(l.hosts, name)
	case action < 8 && !isRunning && hasRecord, action == 8 && isRunning:
		l.start(name)
	case action == 9 && isRunning:
		h.isCutOff = true
	case action < 20 && isRunning:
		h.isCutOff = false
	}
}

// TestPartsFitWhileHostsComeAndGo guards against hosts that divide a rate among different members:
// whatever each knows of the others, the parts in use never add up to more than the whole, and once
// all know the same members, they add up to the whole without the parts of hosts that are lost.
func TestPartsFitWhileHostsComeAndGo(t *testing.T) {
	for seed := range uint64(60) {
		l := newRecordList(seed)
		for range 400 {
			l.change()
			l.step(0.3)
			require.LessOrEqual(t, l.sum(), quota.WholePart, "seed %d", seed)
		}
		for _, h := range l.hosts {
			h.isCutOff = false
		}
		for range 150 {
			l.step(0.95)
			require.LessOrEqual(t, l.sum(), quota.WholePart, "seed %d", seed)
		}
		lost := 0
		for name, part := range l.newest() {
			if _, isRunning := l.hosts[name]; !isRunning {
				lost += part
			}
		}
		if len(l.hosts) > 0 {
			require.InDelta(t, quota.WholePart-lost, l.sum(), quota.WholePart/100, "seed %d", seed)
		}
	}
}

// TestRestartedHostHasItsPartAfterTheFleetShrank guards against a fleet that serves nothing after a restart of
// all processes, because a host that was lost does not agree on the holders that are left.
func TestRestartedHostHasItsPartAfterTheFleetShrank(t *testing.T) {
	var claim quota.PartClaim
	members := []quota.Member{
		{
			Name:     "lost",
			Stated:   quota.WholePart / 5,
			IsHolder: true,
		},
		{
			Name:     "host-1",
			State:    quota.MemberActive,
			Stated:   quota.WholePart / 5,
			IsHolder: true,
		},
		{
			Name:     "host-2",
			Stated:   quota.WholePart / 5,
			IsHolder: true,
		},
	}
	claim.Resume(quota.WholePart/5, members)
	require.Equal(t, quota.WholePart/5, claim.Usable(quota.NewTargetPart("host-1", members)))
}

// TestLostHostsDoNotKeepNewOnesFromAPart guards against a fleet whose hosts are lost and replaced in
// turn until none is left that has a part.
func TestLostHostsDoNotKeepNewOnesFromAPart(t *testing.T) {
	l := newRecordList(1)
	for n := range 5 {
		l.start(hostName(n))
	}
	for range 100 {
		l.step(0.9)
	}
	for n := range 5 {
		delete(l.hosts, hostName(n))
		l.start(hostName(5 + n))
		for range 100 {
			l.step(0.9)
			require.LessOrEqual(t, l.sum(), quota.WholePart)
		}
		require.Positive(t, l.hosts[hostName(5+n)].inUse, "host %d", 5+n)
	}
	// Each lost host keeps its part, a fifth of what the ones before left.
	require.InDelta(t, quota.WholePart*4*4*4*4*4/(5*5*5*5*5), l.sum(), quota.WholePart/100)
}

// TestHostThatNeverHadAPartHoldsNobodyUp guards against a fleet that accepts nothing because one host
// failed just after it had added its record.
func TestHostThatNeverHadAPartHoldsNobodyUp(t *testing.T) {
	var claim quota.PartClaim
	members := []quota.Member{
		{
			Name:     "failed",
			IsHolder: true,
		},
		{
			Name:     "host-1",
			State:    quota.MemberActive,
			IsHolder: true,
		},
	}
	now := time.Unix(1000, 0)
	target := quota.NewTargetPart("host-1", members)
	require.Equal(t, quota.TargetPart{
		Low:  quota.WholePart / 2,
		High: quota.WholePart,
	}, target, "it may still be starting")
	members[0].State = quota.MemberSilent
	target = quota.NewTargetPart("host-1", members)
	require.Equal(t, quota.StatePart{
		Part: quota.WholePart,
	}, claim.Next(now, target, 0, members))
	claim.SetStated(quota.WholePart)
	require.Zero(t, claim.Usable(target), "no list was read since")
	members[1].Stated = quota.WholePart
	require.Equal(t, quota.ConfirmPart{}, claim.Next(now, target, 0, members))
	require.True(t, claim.Confirm(members))
	require.Equal(t, quota.WholePart, claim.Usable(target))
}
