package membership_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
)

// fleet simulates hosts that exchange heartbeats and digests as package host does, with lost
// messages, hosts that end and zones that are cut off.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	// lossRate is the fraction of the messages that are lost.
	lossRate float64
	hosts    []*simulatedHost
	byName   map[string]*simulatedHost
	// cutZone is a zone whose hosts reach only each other.
	cutZone string
	// messages and bytes are what each host has sent and received, by name, while measured is
	// true.
	measured bool
	messages map[string]int
	bytes    map[string]int
}

type simulatedHost struct {
	record    membership.HostRecord
	roster    *membership.Roster
	publisher membership.Publisher
	demand    quota.Demand
	shares    quota.Shares
	holders   uint64
	// pool holds the backend servers; nil if the test has none.
	pool     *placement.Pool
	sequence uint64
	ended    bool
	draining bool
}

// assignTeams gives each host its parts of the rates of many small teams.
func (f *fleet) assignTeams(teams int) {
	hosts := make(map[string][]string)
	for _, h := range f.hosts {
		hosts[h.record.Region] = append(hosts[h.record.Region], h.record.Name)
		h.demand, h.shares = make(quota.Demand), make(quota.Shares)
	}
	for n := range teams {
		team := routing.Team{
			Name: fmt.Sprintf("team-%d", n),
			Rate: 20,
		}
		for _, owners := range quota.SelectOwners(team, hosts) {
			for _, owner := range owners {
				f.byName[owner].demand[team.Name] = 3.14
				f.byName[owner].shares[team.Name] = 0.167
			}
		}
	}
}

func newFleet(t *testing.T, count int, seed uint64) *fleet {
	f := &fleet{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, uint64(count))),
		now:      time.Unix(1000, 0),
		byName:   make(map[string]*simulatedHost),
		messages: make(map[string]int),
		bytes:    make(map[string]int),
	}
	var records []membership.HostRecord
	for n := range count {
		region := []string{"accra", "kumasi", "tamale"}[n%3]
		records = append(records, membership.HostRecord{
			Name:          fmt.Sprintf("edge-%s-%d", region, n),
			Region:        region,
			Zone:          fmt.Sprintf("%s-%d", region, n/3%3),
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
			PeerAddress:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 81),
			ReadsDigests:  true,
		})
	}
	for _, record := range records {
		h := &simulatedHost{
			record: record,
			roster: &membership.Roster{
				Self:   record.Name,
				Clock:  func() time.Time { return f.now },
				Random: f.random,
			},
		}
		h.roster.SetRecords(records)
		f.hosts = append(f.hosts, h)
		f.byName[record.Name] = h
	}
	return f
}

// run lets the time pass. All hosts send their messages once per heartbeat interval.
func (f *fleet) run(duration time.Duration) {
	for range int(duration / membership.HeartbeatInterval) {
		f.now = f.now.Add(membership.HeartbeatInterval)
		for _, n := range f.random.Perm(len(f.hosts)) {
			if h := f.hosts[n]; !h.ended {
				f.sendAll(h)
			}
		}
	}
}

func (f *fleet) sendAll(h *simulatedHost) {
	h.sequence++
	heartbeat := membership.Heartbeat{
		HostRecord:  h.record,
		Incarnation: 1,
		Sequence:    h.sequence,
		Ready:       true,
		Draining:    h.draining,
		Holders:     h.holders,
		TeamDemand:  h.demand,
		TeamShares:  h.shares,
		RouteDemand: map[string]float64{
			"stock": 2,
		},
		BoundRouteDemand: map[string]float64{
			"stock": 1,
		},
		Utilization: map[string]float64{
			"catalogue": 0.5,
		},
	}
	targets := h.roster.Targets(h.record, h.draining)
	if h.pool != nil {
		source := placement.OwnReports
		if len(targets.Digests) > 0 {
			source = placement.AllReports
		}
		heartbeat.LeavingServers = h.pool.LeavingServers(source)
	}
	for _, target := range targets.Heartbeats {
		if to := f.reach(h, target, heartbeat); to != nil {
			to.roster.Receive(heartbeat)
			to.addLeavingServers(heartbeat.LeavingServers)
			h.roster.AddRecords(to.roster.HintForHeartbeat(to.record, to.draining, h.record))
		}
	}
	if len(targets.Digests) > 0 {
		h.publisher.Update(heartbeat, h.roster)
	}
	for _, target := range targets.Digests {
		digest := h.publisher.DigestFor(target)
		to := f.reach(h, target, digest)
		switch {
		case to == nil:
		case !to.roster.ReceiveDigest(digest):
			h.publisher.Forget(target)
		default:
			to.addLeavingServers(digest.LeavingServers)
			if f.random.Float64() >= f.lossRate {
				h.publisher.Acknowledge(target, digest)
				h.roster.AddRecords(to.roster.HintForDigest(to.record, to.draining, h.record))
			}
		}
	}
}

// addLeavingServers applies what another host found, if the test has servers.
func (h *simulatedHost) addLeavingServers(servers []placement.LeavingServer) {
	if h.pool != nil {
		h.pool.AddLeavingServers(servers)
	}
}

// reach returns the host that a message reaches, or nil if it is lost.
func (f *fleet) reach(from *simulatedHost, target membership.HostRecord, message any) *simulatedHost {
	to := f.byName[target.Name]
	f.count(from, message)
	isCut := (from.record.Zone == f.cutZone) != (to.record.Zone == f.cutZone)
	if to.ended || isCut || f.random.Float64() < f.lossRate {
		return nil
	}
	f.count(to, message)
	return to
}

// count adds a message to what a host has sent or received.
func (f *fleet) count(h *simulatedHost, message any) {
	if !f.measured {
		return
	}
	encoded, err := json.Marshal(message)
	require.NoError(f.t, err)
	f.messages[h.record.Name]++
	f.bytes[h.record.Name] += len(encoded)
}

// requireViews checks which hosts are live in the view of every host that is not excluded.
func (f *fleet) requireViews(what string, isLive func(viewer, other *simulatedHost) bool) {
	f.t.Helper()
	for _, viewer := range f.hosts {
		if viewer.ended {
			continue
		}
		live := make(map[string]struct{})
		for _, peer := range viewer.roster.LivePeers() {
			live[peer.Name] = struct{}{}
		}
		for _, other := range f.hosts {
			if other == viewer {
				continue
			}
			_, seen := live[other.record.Name]
			require.Equal(f.t, isLive(viewer, other), seen, "%s: %s of %s", what, viewer.record.Name, other.record.Name)
		}
	}
}

// settleTime is how long after a change every host must know it. Callers may be told of a host
// for eight seconds after its end.
const settleTime = 8 * time.Second

func TestFleetsOfAllSizesAgreeOnLiveHosts(t *testing.T) {
	for _, count := range []int{7, 30, 118} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newFleet(t, count, 1)
			f.lossRate = 0.05
			f.run(settleTime)
			everyone := func(_, other *simulatedHost) bool { return !other.ended }
			f.requireViews("start", everyone)

			// A fifth of the hosts end at once, among them all relays of accra.
			for _, relay := range f.hosts[0].roster.Relays("accra", f.hosts[0].record, false) {
				f.byName[relay.Name].ended = true
			}
			for n := 0; n < count; n += 5 {
				f.hosts[n].ended = true
			}
			f.run(settleTime)
			f.requireViews("hosts ended", everyone)

			f.cutZone = "kumasi-1"
			f.run(settleTime + membership.LivenessTimeout)
			f.requireViews("zone cut off", func(viewer, other *simulatedHost) bool {
				return !other.ended && (viewer.record.Zone == f.cutZone) == (other.record.Zone == f.cutZone)
			})
			f.cutZone = ""
			f.run(2 * settleTime)
			f.requireViews("zone back", everyone)
		})
	}
}

// TestDrainingIsKnownWithinTwoIntervalsPerStep drains a relay and another host.
func TestDrainingIsKnownWithinTwoIntervalsPerStep(t *testing.T) {
	f := newFleet(t, 118, 1)
	f.run(settleTime)
	relay := f.byName[f.hosts[0].roster.Relays("accra", f.hosts[0].record, false)[0].Name]
	relay.draining = true
	f.hosts[1].draining = true
	f.run(4 * membership.HeartbeatInterval)
	for _, viewer := range f.hosts {
		for _, peer := range viewer.roster.LivePeers() {
			require.Equal(t, f.byName[peer.Name].draining, peer.Draining, "%s of %s", viewer.record.Name, peer.Name)
		}
		require.NotContains(t, viewer.roster.Relays("accra", viewer.record, viewer.draining), relay.record)
	}
}

// TestRelayPassesDrainingOnEarly checks which heartbeats a relay passes on before the end of its
// interval: the first that says that its sender drains, and none at a host that is no relay.
// Lookup responses expire in time only if the other hosts learn within one interval that a host
// drains.
func TestRelayPassesDrainingOnEarly(t *testing.T) {
	f := newFleet(t, 118, 1)
	f.run(settleTime)
	relay := f.byName[f.hosts[0].roster.Relays("accra", f.hosts[0].record, false)[0].Name]
	sender := slices.IndexFunc(f.hosts, func(h *simulatedHost) bool {
		return h.record.Region == "accra" && !h.roster.Targets(h.record, false).IsRelay
	})
	heartbeat := membership.Heartbeat{
		HostRecord:  f.hosts[sender].record,
		Incarnation: 1,
		Sequence:    1000,
	}
	require.False(t, relay.roster.NeedsEarlyDigest(heartbeat))
	heartbeat.Draining = true
	require.True(t, relay.roster.NeedsEarlyDigest(heartbeat))
	require.False(t, f.hosts[sender].roster.NeedsEarlyDigest(heartbeat))
	require.True(t, relay.roster.Receive(heartbeat))
	heartbeat.Sequence++
	require.False(t, relay.roster.NeedsEarlyDigest(heartbeat))
}

// TestSummariesReachAllHosts checks the sums that hosts of one region know of another, and that
// those of a region that is gone are dropped.
func TestSummariesReachAllHosts(t *testing.T) {
	f := newFleet(t, 60, 1)
	f.run(settleTime)
	for _, h := range f.hosts {
		for _, region := range []string{"accra", "kumasi", "tamale"} {
			require.InDelta(t, 2*20, h.roster.Regions()[region].RouteDemand["stock"], 1e-9, "%s of %s", h.record.Name, region)
			require.InDelta(t, 20, h.roster.Regions()[region].BoundRouteDemand["stock"], 1e-9, "%s of %s", h.record.Name, region)
		}
	}
	for _, h := range f.hosts {
		h.ended = h.record.Region == "tamale"
	}
	f.run(2 * settleTime)
	for _, h := range f.hosts {
		if !h.ended {
			require.NotContains(t, h.roster.Regions(), "tamale", h.record.Name)
		}
	}
}

// TestHoldersReachAllHosts guards against a fleet with relays in which no host has a part of the teams'
// rates, because nobody hears on which holders the others count.
func TestHoldersReachAllHosts(t *testing.T) {
	f := newFleet(t, 60, 1)
	f.run(settleTime)
	for n, h := range f.hosts {
		h.holders = uint64(n + 1)
	}
	f.run(settleTime)
	for _, h := range f.hosts {
		peers := h.roster.RecentPeers()
		require.Len(t, peers, 59)
		for _, peer := range peers {
			require.Equal(t, f.byName[peer.Name].holders, peer.Holders, "%s of %s", h.record.Name, peer.Name)
		}
	}
}

// TestOwnersKnowEachOthersReports moves a team from some owners to others. Each owner must know
// the reports of all others, and none of those that own nothing any more: a share that is
// remembered would stay reserved, and the team could use the rest only.
func TestOwnersKnowEachOthersReports(t *testing.T) {
	f := newFleet(t, 60, 1)
	for _, owners := range [][]int{{0, 1, 2}, {3, 4, 5}, {0, 4, 59}} {
		expected := make(map[string]float64)
		for n, h := range f.hosts {
			h.shares = nil
			if slices.Contains(owners, n) {
				h.shares = quota.Shares{
					"north": 0.3,
				}
				expected[h.record.Name] = 0.3
			}
		}
		f.run(settleTime)
		for _, n := range owners {
			known := map[string]float64{
				f.hosts[n].record.Name: 0.3,
			}
			for _, peer := range f.hosts[n].roster.LivePeers() {
				if share, isKnown := peer.TeamShares["north"]; isKnown {
					known[peer.Name] = share
				}
			}
			require.Equal(t, expected, known, "owners %v, as known by %s", owners, f.hosts[n].record.Name)
		}
	}
}

// TestTrafficOfHostDoesNotGrowWithFleet compares what a host that is no relay sends and
// receives in fleets of 118 and 300 hosts.
func TestTrafficOfHostDoesNotGrowWithFleet(t *testing.T) {
	const (
		seconds      = 1
		teamsPerHost = 1.5
	)
	for _, count := range []int{118, 300} {
		f := newFleet(t, count, 1)
		f.assignTeams(int(teamsPerHost * float64(count)))
		f.run(settleTime)
		f.measured = true
		f.run(seconds * time.Second)
		relays, mostMessages, mostBytes, relayBytes := 0, 0, 0, 0
		for _, h := range f.hosts {
			if h.roster.Targets(h.record, false).IsRelay {
				relays++
				relayBytes = max(relayBytes, f.bytes[h.record.Name]/seconds)
				continue
			}
			mostMessages = max(mostMessages, f.messages[h.record.Name]/seconds)
			mostBytes = max(mostBytes, f.bytes[h.record.Name]/seconds)
		}
		t.Logf("%d hosts: %d relays; messages/s of others at most %d, bytes/s %d; bytes/s of a relay %d", count, relays, mostMessages, mostBytes, relayBytes)
		require.LessOrEqual(t, relays, 6)
		require.LessOrEqual(t, mostMessages, 10)
	}
}
