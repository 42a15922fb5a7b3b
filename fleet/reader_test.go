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

// startSingleHost starts a node with a feed reader and a machine lister. They
// reach the store over the returned link.
func startSingleHost(ctx context.Context, memory *store.Memory) (*fleet.Node, *store.Link) {
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

func TestFeedReaderConfirmsOnlyViewsThatStoreConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		memory := &store.Memory{}
		memory.RegisterMachine(objectstore.Machine{
			Name: "host-2",
			Kind: objectstore.EntryHost,
			Zone: "accra-b",
		})
		node, link := startSingleHost(ctx, memory)
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
		time.Sleep(maxUseAfterWithdrawal - time.Second)
		require.NoError(t, node.CheckConfirmed(keysFeed))
		time.Sleep(2 * time.Second)
		require.ErrorAs(t, node.CheckConfirmed(keysFeed), new(*fleet.UnconfirmedError))
		link.SetDown(false)
		time.Sleep(2 * time.Second)
		require.NoError(t, node.CheckConfirmed(keysFeed))
	})
}

func TestCheckConfirmedRejectsUnknownFeed(t *testing.T) {
	node := &fleet.Node{
		Incarnation: 1,
	}
	require.ErrorAs(t, node.CheckConfirmed("routes/"), new(*fleet.UnknownFeedError))
	require.Zero(t, node.FeedVersion("routes/"))
}

func TestCrashCountsAddUpOverHosts(t *testing.T) {
	sim := newConvergedSimulation(t, 8, 12, 3, 3)
	sim.hosts[0].node.RecordCrash("print")
	sim.hosts[5].node.RecordCrash("print")
	sim.hosts[5].node.RecordCrash("print")
	sim.advance(10 * time.Second)
	for _, h := range sim.hosts {
		require.Equal(t, 3, h.node.Crashes("print"), h.Name)
		require.Zero(t, h.node.Crashes("other"))
	}
	sim.advance(11 * time.Minute)
	require.Zero(t, sim.hosts[3].node.Crashes("print"))
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
	node.ApplyWatchResult("keys/", began, objectstore.VersionedObjects{
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
	// the newest known version of feed "keys/" has not been received yet
	// <nil> 4
}
