package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/objectstore"
)

// startingHost is a host that has just started while the store is down, and has
// two peers.
type startingHost struct {
	node *fleet.Node
	now  time.Time
	// timestamps has the timestamp of the poll sent to each peer.
	timestamps map[string]int64
}

func newStartingHost() *startingHost {
	s := &startingHost{
		now:        time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
		timestamps: make(map[string]int64),
	}
	s.node = &fleet.Node{
		Self: fleet.Host{
			Name: "new",
			Zone: "accra-a",
		},
		Incarnation: 1000,
		Feeds: []fleet.Feed{
			{
				Prefix:  keysFeed,
				HeadKey: keysHead,
			},
		},
		Clock: func() time.Time { return s.now },
	}
	var machines []objectstore.Machine
	for _, name := range []string{
		"behind",
		"ahead",
	} {
		machines = append(machines, objectstore.Machine{
			Name: name,
			Kind: objectstore.EntryHost,
			Zone: "accra-a",
		})
	}
	s.node.SetMachines(machines)
	for _, envelope := range s.node.Tick() {
		s.timestamps[envelope.To.Name] = envelope.Message.(*fleet.Poll).Timestamp
	}
	return s
}

// sendStatusAndView passes the node the status of a peer and then the peer's
// view.
func (s *startingHost) sendStatusAndView(peer string, version objectstore.Version) {
	header := fleet.Header{
		From:            peer,
		Timestamp:       1,
		EchoedTimestamp: s.timestamps[peer],
	}
	status := fleet.FeedStatus{
		Version: version,
	}
	s.node.Receive(&fleet.PollReply{
		Header: header,
		Status: fleet.Status{
			Feeds: []fleet.FeedStatus{
				status,
			},
		},
	})
	s.node.Receive(&fleet.FeedReply{
		Header: header,
		Feed:   keysFeed,
		Status: status,
		Objects: []objectstore.Object{
			{
				Key:     keysFeed + "a",
				Version: version,
			},
		},
	})
}

func TestStartingHostWaitsForHighestVersionAmongPeers(t *testing.T) {
	s := newStartingHost()
	s.sendStatusAndView("behind", 3)
	require.False(t, s.node.HasSynced(keysFeed), "the other peer has not replied yet")
	require.ErrorAs(t, s.node.CheckConfirmed(keysFeed), new(*fleet.NotSyncedError))
	s.sendStatusAndView("ahead", 7)
	s.now = s.now.Add(2 * time.Second)
	require.True(t, s.node.HasSynced(keysFeed))
	require.Equal(t, objectstore.Version(7), s.node.FeedVersion(keysFeed))
	s.sendStatusAndView("behind", 3)
	require.Equal(t, objectstore.Version(7), s.node.FeedVersion(keysFeed))
	require.Zero(t, s.node.ViolationCount())
}

func TestConfirmationAgeOfDelayedReplyCountsFromPoll(t *testing.T) {
	s := newStartingHost()
	s.now = s.now.Add(4 * time.Second)
	s.sendStatusAndView("ahead", 7)
	age, ok := s.node.ConfirmationAge(keysFeed)
	require.True(t, ok)
	require.Equal(t, 4*time.Second, age)
	require.NoError(t, s.node.CheckConfirmed(keysFeed))
	s.now = s.now.Add(2 * time.Second)
	s.sendStatusAndView("ahead", 7)
	require.ErrorAs(t, s.node.CheckConfirmed(keysFeed), new(*fleet.UnconfirmedError), "the same reply again must confirm nothing new")
}

func TestEchoedTimestampOfEarlierIncarnationConfirmsNothing(t *testing.T) {
	s := newStartingHost()
	s.timestamps["ahead"] = 999
	s.sendStatusAndView("ahead", 7)
	_, ok := s.node.ConfirmationAge(keysFeed)
	require.False(t, ok)
}
