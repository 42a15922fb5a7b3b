package recorded_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/share"
)

// fractions matches the digits of a number that are rounded differently by
// processors that multiply and add in one step.
var fractions = regexp.MustCompile(`\.[0-9]{9}([0-9]+)`)

// TestFleetSpeaksAsRecorded lets the hosts of a fleet find each other and spread
// what the store holds, on a clock and with chances that the test sets. Each
// message is read from its bytes before it is received.
func TestFleetSpeaksAsRecorded(t *testing.T) {
	const (
		hosts     = 7
		steps     = 6
		writeStep = 3
	)
	at := newClock()
	memory := &store.Memory{}
	write(t, memory, "table/head", "first")
	nodes := make(map[string]*fleet.Node)
	var names []string
	var machines []objectstore.Machine
	for i := range hosts {
		node := newNode(i, at)
		names = append(names, node.Self.Name)
		nodes[node.Self.Name] = node
		machines = append(machines, objectstore.Machine{
			Name:    node.Self.Name,
			Kind:    objectstore.EntryHost,
			Region:  node.Self.Region,
			Zone:    node.Self.Zone,
			Address: node.Self.Address,
			State:   objectstore.Live,
		})
	}
	var said bytes.Buffer
	for s := range steps {
		if s == writeStep {
			write(t, memory, "table/head", "second")
			nodes[names[1]].RecordCrash("fingerprint-1")
			nodes[names[2]].StartDraining()
		}
		var queue []fleet.Envelope
		for _, name := range names {
			nodes[name].SetMachines(machines)
			read(t, memory, nodes[name])
			queue = append(queue, nodes[name].Tick()...)
		}
		for len(queue) > 0 {
			next := queue[0]
			body, err := fleet.Encode(next.Message)
			require.NoError(t, err)
			fmt.Fprintf(&said, "%s %s\n", next.To.Name, body)
			message, err := fleet.Decode(body)
			require.NoError(t, err)
			queue = append(queue[1:], nodes[next.To.Name].Receive(message)...)
		}
		at.advance(nodes[names[0]].TickInterval())
	}
	requireRecorded(t, "flows/fleet", said.Bytes())
	for _, kind := range []string{"poll", "poll-reply", "records-request", "records", "feed-request", "feed-reply"} {
		require.True(t, bytes.Contains(said.Bytes(), []byte(`{"kind":"`+kind+`"`)), kind)
	}
	for _, name := range names {
		require.EqualValues(t, 2, nodes[name].FeedVersion("table/head"), name)
		require.True(t, nodes[name].IsDraining(names[2]), name)
	}
}

// newNode returns a host; the last two are of another zone.
func newNode(i int, at *clock) *fleet.Node {
	place := "accra"
	if i >= 5 {
		place = "kumasi"
	}
	return &fleet.Node{
		Self: fleet.Host{
			Name:    fmt.Sprintf("entry-%d", i+1),
			Region:  place,
			Zone:    place + "-a",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 8000),
		},
		Incarnation: uint64(1_800_000_000_000 + i),
		Feeds: []fleet.Feed{
			{
				Prefix: "table/head",
			},
			{
				Prefix:  "keys/",
				HeadKey: "keys-head",
			},
		},
		Clock: at.now,
		Rand:  rand.New(rand.NewPCG(uint64(i), 17)),
	}
}

// write puts an object into the store.
func write(t *testing.T, memory *store.Memory, key, value string) {
	t.Helper()
	_, err := memory.Put(t.Context(), key, []byte(value), objectstore.Always{})
	require.NoError(t, err)
}

// read lets a node that should read the store do so.
func read(t *testing.T, memory *store.Memory, node *fleet.Node) {
	t.Helper()
	for _, feed := range node.Feeds {
		if !node.ShouldReadStore(feed.Prefix) {
			continue
		}
		began, after := node.BeginRead(feed.Prefix)
		changes, err := memory.Watch(t.Context(), feed.Prefix, after, 0)
		require.NoError(t, err)
		node.ApplyWatchResult(feed.Prefix, began, changes)
	}
}

// TestHoldersSpeakAsRecorded lets the holders of limits agree on an allocation,
// lend each other parts and take in a new holder, on a clock and with chances that
// the test sets. Each message is read from its bytes before it is received.
func TestHoldersSpeakAsRecorded(t *testing.T) {
	const (
		hosts     = 5
		steps     = 150
		joinStep  = 60
		takeSteps = 30
	)
	at := newClock()
	memory := &store.Memory{}
	var holders []*share.Limiter
	var keepers []*share.AllocationSyncer
	byName := make(map[string]*share.Limiter)
	for i := range hosts {
		h := &share.Limiter{
			Host:        fmt.Sprintf("entry-%d", i+1),
			Incarnation: uint64(17 + i),
			Clock:       at.now,
			Rand:        rand.New(rand.NewPCG(uint64(i), 17)),
		}
		h.SetLimits([]share.Limit{
			{
				Name: "team/bright-start",
				Kind: share.Rate{
					PerSecond: 40,
					Burst:     40,
				},
			},
		})
		holders = append(holders, h)
		byName[h.Host] = h
		keepers = append(keepers, &share.AllocationSyncer{
			Store:   memory,
			Limiter: h,
		})
	}
	var said, kept bytes.Buffer
	for s := range steps {
		var live []share.ProcessID
		for i, h := range holders {
			if i < hosts-1 || s >= joinStep {
				live = append(live, h.ProcessID())
			}
		}
		var queue []share.Envelope
		for i, h := range holders[:len(live)] {
			h.SetLiveProcesses(live)
			require.NoError(t, keepers[i].Refresh(t.Context()))
			queue = append(queue, h.Tick()...)
		}
		for range min(s/takeSteps, 4) {
			holders[0].Acquire("team/bright-start", 1)
		}
		for len(queue) > 0 {
			body, err := json.Marshal(queue[0])
			require.NoError(t, err)
			fmt.Fprintf(&said, "%s\n", body)
			var next share.Envelope
			require.NoError(t, json.Unmarshal(body, &next))
			queue = append(queue[1:], byName[next.To].Receive(next.Message)...)
		}
		if now := stored(t, memory, ""); !bytes.HasSuffix(kept.Bytes(), now) {
			kept.Write(now)
		}
		at.advance(share.TickInterval)
	}
	requireMasked(t, "flows/holders", said.Bytes(), fractions)
	requireRecorded(t, "flows/allocations", kept.Bytes())
	for _, kind := range []string{"beat", "propose", "consent", "ask", "lend"} {
		require.True(t, bytes.Contains(said.Bytes(), []byte(`"kind":"`+kind+`"`)), kind)
	}
}
