package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/membership"
)

func record(n int, region string) membership.HostRecord {
	return membership.HostRecord{
		Name:        fmt.Sprintf("host-%d", n),
		Region:      region,
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7),
	}
}

func heartbeat(n int, incarnation, sequence uint64) membership.Heartbeat {
	return membership.Heartbeat{
		HostRecord:  record(n, "accra"),
		Incarnation: incarnation,
		Sequence:    sequence,
	}
}

func names(heartbeats []membership.Heartbeat) []string {
	names := make([]string, 0, len(heartbeats))
	for _, hb := range heartbeats {
		names = append(names, hb.Name)
	}
	return names
}

func TestHostIsLiveWhileHeartbeatsArrive(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &membership.Roster{
		Self:  "host-0",
		Clock: func() time.Time { return now },
	}
	require.False(t, r.Receive(heartbeat(0, 1, 1)), "a host must ignore its own heartbeats")
	require.True(t, r.Receive(heartbeat(1, 1, 1)))
	require.True(t, r.Receive(heartbeat(2, 1, 1)))
	now = now.Add(membership.LivenessTimeout)
	require.True(t, r.Receive(heartbeat(2, 1, 2)))
	now = now.Add(time.Millisecond)
	require.Equal(t, []string{"host-2"}, names(r.LivePeers()))
	require.Equal(t, []string{"host-1", "host-2"}, names(r.RecentPeers()))
	now = now.Add(membership.RetentionTime)
	require.Empty(t, r.LivePeers())
	require.Empty(t, r.RecentPeers())
}

func TestOutdatedHeartbeatIsIgnored(t *testing.T) {
	r := &membership.Roster{
		Self: "host-0",
	}
	require.True(t, r.Receive(heartbeat(1, 5, 7)))
	require.False(t, r.Receive(heartbeat(1, 5, 6)))
	require.False(t, r.Receive(heartbeat(1, 5, 7)))
	// A restart after the clock was set back has a lower incarnation.
	require.True(t, r.Receive(heartbeat(1, 4, 1)))
}

func TestHeartbeatTargetsAreRecordedHostsAndUnrecordedSenders(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &membership.Roster{
		Self:  "host-0",
		Clock: func() time.Time { return now },
	}
	r.SetRecords([]membership.HostRecord{record(0, "accra"), record(1, "accra"), record(2, "accra")})
	r.Receive(heartbeat(1, 1, 1))
	r.Receive(heartbeat(3, 1, 1))
	require.ElementsMatch(t, []membership.HostRecord{record(1, "accra"), record(2, "accra"), record(3, "accra")}, r.Targets(record(0, "accra"), false).Heartbeats)
	silent := r.SilentPeers()
	require.Len(t, silent, 1)
	require.Equal(t, "host-2", silent[0].Name)
	now = now.Add(membership.RetentionTime + time.Second)
	require.Len(t, r.SilentPeers(), 2)
	require.Len(t, r.Targets(record(0, "accra"), false).Heartbeats, 2)
}

func TestRoundTripIsShortestToAnotherRegion(t *testing.T) {
	r := &membership.Roster{
		Self: "host-0",
	}
	require.Zero(t, r.RoundTripToNearestRegion("accra"))
	for n, region := range []string{"", "accra", "kumasi", "tamale"} {
		hb := heartbeat(n, 1, 1)
		hb.Region = region
		if n > 0 {
			r.Receive(hb)
		}
	}
	r.RecordRoundTrip(record(1, "").PeerAddress, time.Millisecond)
	r.RecordRoundTrip(record(2, "").PeerAddress, 130*time.Millisecond)
	r.RecordRoundTrip(record(2, "").PeerAddress, 110*time.Millisecond)
	r.RecordRoundTrip(record(3, "").PeerAddress, 150*time.Millisecond)
	require.Equal(t, 110*time.Millisecond, r.RoundTripToNearestRegion("accra"))
}

func TestPartialHeartbeatKeepsEarlierValues(t *testing.T) {
	r := &membership.Roster{
		Self: "host-0",
	}
	full := heartbeat(1, 1, 1)
	full.TeamDemand = map[string]float64{
		"north": 7,
	}
	full.BoundRouteDemand = map[string]float64{
		"stock": 3,
	}
	full.Utilization = map[string]float64{
		"catalogue": 0.5,
	}
	r.Receive(full)
	partial := full.ToPartial()
	partial.Sequence = 2
	partial.Ready = true
	require.Nil(t, partial.TeamDemand)
	require.Nil(t, partial.BoundRouteDemand)
	r.Receive(partial)
	got := r.LivePeers()[0]
	require.True(t, got.Ready)
	require.Equal(t, full.TeamDemand, got.TeamDemand)
	require.Equal(t, full.BoundRouteDemand, got.BoundRouteDemand)
	require.Equal(t, full.Utilization, got.Utilization)
}
