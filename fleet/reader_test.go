package fleet_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
)

// lone starts a node with its reader and lister on a link to the memory.
func lone(ctx context.Context, memory *store.Memory) (*fleet.Node, *store.Link) {
	link := &store.Link{
		Memory: memory,
	}
	node := &fleet.Node{
		Self: fleet.Host{
			Name:   "host-1",
			Region: "accra",
			Zone:   "accra-a",
		},
		Incarnation: uint64(time.Now().UnixMilli()),
		Feeds: []fleet.Feed{
			{
				Prefix:  keysFeed,
				HeadKey: keysHead,
			},
		},
	}
	reader := &fleet.FeedReader{
		Node:  node,
		Store: link,
		Feed:  node.Feeds[0],
	}
	lister := &fleet.MachineLister{
		Node:      node,
		Directory: link,
	}
	go reader.Run(ctx)
	go lister.Run(ctx)
	return node, link
}

func TestReaderConfirmsOnlyWhatTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		memory := &store.Memory{}
		memory.RegisterMachine(objectstore.Machine{
			Name: "host-2",
			Kind: objectstore.EntryHost,
			Zone: "accra-b",
		})
		node, link := lone(ctx, memory)
		time.Sleep(2 * time.Second)
		require.NoError(t, node.CheckConfirmed(keysFeed))
		require.Len(t, node.Members(), 2)

		memory.SetFaults(store.Faults{
			StaleWatch: true,
		})
		version, err := memory.Put(ctx, keysFeed+"a", []byte("withdrawn"), nil)
		require.NoError(t, err)
		_, err = memory.Put(ctx, keysHead, nil, nil)
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.Equal(t, version, node.FeedVersion(keysFeed), "a watch that lags must not hide a change")

		link.SetDown(true)
		time.Sleep(bound - time.Second)
		require.NoError(t, node.CheckConfirmed(keysFeed))
		time.Sleep(2 * time.Second)
		require.ErrorAs(t, node.CheckConfirmed(keysFeed), new(*fleet.UnconfirmedError))
		link.SetDown(false)
		time.Sleep(2 * time.Second)
		require.NoError(t, node.CheckConfirmed(keysFeed))
	})
}

func TestConfirmationOfAnUnknownFeed(t *testing.T) {
	node := &fleet.Node{
		Incarnation: 1,
	}
	require.ErrorAs(t, node.CheckConfirmed("routes/"), new(*fleet.UnknownFeedError))
	require.Zero(t, node.FeedVersion("routes/"))
}

func TestNoticesAddUpOverHosts(t *testing.T) {
	w := settled(t, 8, 12, 3, 3)
	w.hosts[0].node.RecordCrash("print")
	w.hosts[5].node.RecordCrash("print")
	w.hosts[5].node.RecordCrash("print")
	w.run(10 * time.Second)
	for _, h := range w.hosts {
		require.Equal(t, 3, h.node.Crashes("print"), h.Name)
		require.Zero(t, h.node.Crashes("other"))
	}
	w.run(11 * time.Minute)
	require.Zero(t, w.hosts[3].node.Crashes("print"))
}

func FuzzDecode(f *testing.F) {
	seeds := []fleet.Message{
		&fleet.Poll{
			Status: fleet.Status{
				HostOutageAges: &fleet.HostOutageAges{
					Ages: "0z",
				},
				ZoneAges: &fleet.ZoneAges{
					LastContact: "zz",
				},
			},
		},
		&fleet.FeedReply{
			Feed: keysFeed,
		},
		&fleet.Poll{
			Header: fleet.Header{
				From:            "host-2",
				EchoedTimestamp: 1,
			},
			Status: fleet.Status{
				Records: []fleet.MemberRecord{
					{
						Host: fleet.Host{
							Name: "host-2",
						},
						Incarnation: 1,
					},
				},
				Feeds: []fleet.FeedStatus{
					{
						ConfirmationAge: math.MaxInt64,
					},
				},
			},
		},
	}
	for _, seed := range seeds {
		body, err := fleet.Encode(seed)
		require.NoError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		message, err := fleet.Decode(body)
		if err != nil {
			return
		}
		node := &fleet.Node{
			Incarnation: 1,
			Feeds: []fleet.Feed{
				{
					Prefix: keysFeed,
				},
			},
		}
		node.Tick()
		for _, envelope := range node.Receive(message) {
			_, err := fleet.Encode(envelope.Message)
			require.NoError(t, err)
		}
		node.Tick()
		age, ok := node.ConfirmationAge(keysFeed)
		require.True(t, !ok || age >= 0, "a view confirmed in the future: %s", age)
	})
}

func ExampleNode() {
	node := &fleet.Node{
		Self: fleet.Host{
			Name: "host-1",
			Zone: "accra-a",
		},
		Incarnation: 1,
		Feeds: []fleet.Feed{
			{
				Prefix:  "keys/",
				HeadKey: "keys-head",
			},
		},
	}
	fmt.Println(node.CheckConfirmed("keys/"))
	began, _ := node.BeginRead("keys/")
	node.ApplyWatchResult("keys/", began, objectstore.Changes{
		Objects: []objectstore.Object{
			{
				Key:     "keys/a",
				Version: 4,
			},
		},
		Next: 4,
	})
	fmt.Println(node.CheckConfirmed("keys/"), node.FeedVersion("keys/"))
	// Output:
	// the newest known view of "keys/" is not held here yet
	// <nil> 4
}
