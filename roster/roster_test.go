package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/roster"
)

func record(n int, region string) roster.Host {
	return roster.Host{
		Name:   fmt.Sprintf("host-%d", n),
		Region: region,
		Peers:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7),
	}
}

func beat(n int, incarnation, sequence uint64) roster.Beat {
	return roster.Beat{
		Host:        record(n, "accra"),
		Incarnation: incarnation,
		Sequence:    sequence,
	}
}

func names(beats []roster.Beat) []string {
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
	now = now.Add(roster.LiveFor)
	require.True(t, r.Receive(beat(2, 1, 2)))
	now = now.Add(time.Millisecond)
	require.Equal(t, []string{"host-2"}, names(r.Live()))
	require.Equal(t, []string{"host-1", "host-2"}, names(r.Remembered()))
	now = now.Add(roster.RememberFor)
	require.Empty(t, r.Live())
	require.Empty(t, r.Remembered())
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
	r.SetRecords([]roster.Host{record(0, "accra"), record(1, "accra"), record(2, "accra")})
	r.Receive(beat(1, 1, 1))
	r.Receive(beat(3, 1, 1))
	require.ElementsMatch(t, []roster.Host{record(1, "accra"), record(2, "accra"), record(3, "accra")}, r.Others())
	unheard := r.Unheard()
	require.Len(t, unheard, 1)
	require.Equal(t, "host-2", unheard[0].Name)
	now = now.Add(roster.RememberFor + time.Second)
	require.Len(t, r.Unheard(), 2)
	require.Len(t, r.Others(), 2)
}

func TestTheWayIsTheShortestToAnotherRegion(t *testing.T) {
	r := &roster.Roster{
		Self: "host-0",
	}
	require.Zero(t, r.RoundTrip("accra"))
	for n, region := range []string{"", "accra", "kumasi", "tamale"} {
		b := beat(n, 1, 1)
		b.Region = region
		if n > 0 {
			r.Receive(b)
		}
	}
	r.Met(record(1, "").Peers, time.Millisecond)
	r.Met(record(2, "").Peers, 130*time.Millisecond)
	r.Met(record(2, "").Peers, 110*time.Millisecond)
	r.Met(record(3, "").Peers, 150*time.Millisecond)
	require.Equal(t, 110*time.Millisecond, r.RoundTrip("accra"))
}

func TestABriefBeatKeepsWhatWasToldBefore(t *testing.T) {
	r := &roster.Roster{
		Self: "host-0",
	}
	whole := beat(1, 1, 1)
	whole.Asked = map[string]float64{
		"north": 7,
	}
	whole.Crowding = map[string]float64{
		"catalogue": 0.5,
	}
	r.Receive(whole)
	brief := whole.InBrief()
	brief.Sequence = 2
	brief.Ready = true
	require.Nil(t, brief.Asked)
	r.Receive(brief)
	got := r.Live()[0]
	require.True(t, got.Ready)
	require.Equal(t, whole.Asked, got.Asked)
	require.Equal(t, whole.Crowding, got.Crowding)
}
