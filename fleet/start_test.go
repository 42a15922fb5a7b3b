package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/objectstore"
)

// starting is a host that has just started, with the store down and two peers.
type starting struct {
	node *fleet.Node
	now  time.Time
	// stamps are those of the polls to each peer.
	stamps map[string]int64
}

func newStarting() *starting {
	s := &starting{
		now:    time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
		stamps: make(map[string]int64),
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
		s.stamps[envelope.To.Name] = envelope.Message.(*fleet.Poll).Timestamp
	}
	return s
}

// answer gives the node a peer's status and then its view.
func (s *starting) answer(peer string, version objectstore.Version) {
	header := fleet.Header{
		From:            peer,
		Timestamp:       1,
		EchoedTimestamp: s.stamps[peer],
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

func TestNewHostTakesTheHighestAmongItsPeers(t *testing.T) {
	s := newStarting()
	s.answer("behind", 3)
	require.False(t, s.node.HasSynced(keysFeed), "others have not answered yet")
	require.ErrorAs(t, s.node.CheckConfirmed(keysFeed), new(*fleet.NotSyncedError))
	s.answer("ahead", 7)
	s.now = s.now.Add(2 * time.Second)
	require.True(t, s.node.HasSynced(keysFeed))
	require.Equal(t, objectstore.Version(7), s.node.FeedVersion(keysFeed))
	s.answer("behind", 3)
	require.Equal(t, objectstore.Version(7), s.node.FeedVersion(keysFeed))
	require.Zero(t, s.node.ViolationCount())
}

func TestAgeOfADelayedAnswerCountsFromTheQuestion(t *testing.T) {
	s := newStarting()
	s.now = s.now.Add(4 * time.Second)
	s.answer("ahead", 7)
	age, ok := s.node.ConfirmationAge(keysFeed)
	require.True(t, ok)
	require.Equal(t, 4*time.Second, age)
	require.NoError(t, s.node.CheckConfirmed(keysFeed))
	s.now = s.now.Add(2 * time.Second)
	s.answer("ahead", 7)
	require.ErrorAs(t, s.node.CheckConfirmed(keysFeed), new(*fleet.UnconfirmedError), "the same answer again confirms nothing new")
}

func TestEchoOfAnEarlierIncarnationCountsForNothing(t *testing.T) {
	s := newStarting()
	s.stamps["ahead"] = 999
	s.answer("ahead", 7)
	_, ok := s.node.ConfirmationAge(keysFeed)
	require.False(t, ok)
}
