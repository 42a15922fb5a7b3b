package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/roster"
)

func record(n int, region string) roster.HostRecord {
	return roster.HostRecord{
		Name:        fmt.Sprintf("host-%d", n),
		Region:      region,
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7),
	}
}

func beat(n int, incarnation, sequence uint64) roster.Heartbeat {
	return roster.Heartbeat{
		HostRecord:  record(n, "accra"),
		Incarnation: incarnation,
		Sequence:    sequence,
	}
}

func names(beats []roster.Heartbeat) []string {
	names := make([]string, 0, len(beats))
	for _, b := range beats {
		names = append(names, b.Name)
	}
	return names
}

func TestAHostIsLiveWhileItsBeatsCome(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &roster.Roster{
		Self:  "host-0",
		Clock: func() time.Time { return now },
	}
	require.False(t, r.Receive(beat(0, 1, 1)), "this host itself")
	require.True(t, r.Receive(beat(1, 1, 1)))
	require.True(t, r.Receive(beat(2, 1, 1)))
	now = now.Add(roster.LivenessTimeout)
	require.True(t, r.Receive(beat(2, 1, 2)))
	now = now.Add(time.Millisecond)
	require.Equal(t, []string{"host-2"}, names(r.LivePeers()))
	require.Equal(t, []string{"host-1", "host-2"}, names(r.RecentPeers()))
	now = now.Add(roster.RetentionTime)
	require.Empty(t, r.LivePeers())
	require.Empty(t, r.RecentPeers())
}

func TestABeatThatComesLateChangesNothing(t *testing.T) {
	r := &roster.Roster{
		Self: "host-0",
	}
	require.True(t, r.Receive(beat(1, 5, 7)))
	require.False(t, r.Receive(beat(1, 5, 6)))
	require.False(t, r.Receive(beat(1, 5, 7)))
	// A start after the time of day went back has a lower incarnation.
	require.True(t, r.Receive(beat(1, 4, 1)))
}

func TestBeatsGoToRecordsAndToThoseHeardWithoutOne(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &roster.Roster{
		Self:  "host-0",
		Clock: func() time.Time { return now },
	}
	r.SetRecords([]roster.HostRecord{record(0, "accra"), record(1, "accra"), record(2, "accra")})
	r.Receive(beat(1, 1, 1))
	r.Receive(beat(3, 1, 1))
	require.ElementsMatch(t, []roster.HostRecord{record(1, "accra"), record(2, "accra"), record(3, "accra")}, r.HeartbeatTargets())
	unheard := r.SilentPeers()
	require.Len(t, unheard, 1)
	require.Equal(t, "host-2", unheard[0].Name)
	now = now.Add(roster.RetentionTime + time.Second)
	require.Len(t, r.SilentPeers(), 2)
	require.Len(t, r.HeartbeatTargets(), 2)
}

func TestTheWayIsTheShortestToAnotherRegion(t *testing.T) {
	r := &roster.Roster{
		Self: "host-0",
	}
	require.Zero(t, r.RoundTripToNearestRegion("accra"))
	for n, region := range []string{"", "accra", "kumasi", "tamale"} {
		b := beat(n, 1, 1)
		b.Region = region
		if n > 0 {
			r.Receive(b)
		}
	}
	r.RecordRoundTrip(record(1, "").PeerAddress, time.Millisecond)
	r.RecordRoundTrip(record(2, "").PeerAddress, 130*time.Millisecond)
	r.RecordRoundTrip(record(2, "").PeerAddress, 110*time.Millisecond)
	r.RecordRoundTrip(record(3, "").PeerAddress, 150*time.Millisecond)
	require.Equal(t, 110*time.Millisecond, r.RoundTripToNearestRegion("accra"))
}

func TestABriefBeatKeepsWhatWasToldBefore(t *testing.T) {
	r := &roster.Roster{
		Self: "host-0",
	}
	whole := beat(1, 1, 1)
	whole.TeamDemand = map[string]float64{
		"north": 7,
	}
	whole.Utilization = map[string]float64{
		"catalogue": 0.5,
	}
	r.Receive(whole)
	brief := whole.ToPartial()
	brief.Sequence = 2
	brief.Ready = true
	require.Nil(t, brief.TeamDemand)
	r.Receive(brief)
	got := r.LivePeers()[0]
	require.True(t, got.Ready)
	require.Equal(t, whole.TeamDemand, got.TeamDemand)
	require.Equal(t, whole.Utilization, got.Utilization)
}
