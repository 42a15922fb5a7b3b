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
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
)

// fractionPattern matches the digits after the ninth decimal region. They differ
// between architectures, since some use fused multiply-add instructions.
var fractionPattern = regexp.MustCompile(`\.[0-9]{9}([0-9]+)`)

// TestNodesExchangeRecordedMessages runs seven nodes with a simulated clock and seeded
// random sources. They exchange membership records and pass on changes of the store.
// Each message is encoded and decoded before it is delivered.
func TestNodesExchangeRecordedMessages(t *testing.T) {
	const (
		hosts     = 7
		steps     = 6
		writeStep = 3
	)
	at := newClock()
	memory := &store.Memory{}
	putObject(t, memory, "table/head", "first")
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
	var sentMessages bytes.Buffer
	for s := range steps {
		if s == writeStep {
			putObject(t, memory, "table/head", "second")
			nodes[names[1]].RecordCrash("fingerprint-1")
			nodes[names[2]].StartDraining()
		}
		var queue []fleet.Envelope
		for _, name := range names {
			nodes[name].SetMachines(machines)
			readStore(t, memory, nodes[name])
			queue = append(queue, nodes[name].Tick()...)
		}
		for len(queue) > 0 {
			next := queue[0]
			body, err := fleet.Encode(next.Message)
			require.NoError(t, err)
			fmt.Fprintf(&sentMessages, "%s %s\n", next.To.Name, body)
			message, err := fleet.Decode(body)
			require.NoError(t, err)
			queue = append(queue[1:], nodes[next.To.Name].Receive(message)...)
		}
		at.advance(nodes[names[0]].TickInterval())
	}
	requireEqualsRecording(t, "flows/fleet", sentMessages.Bytes())
	for _, kind := range []string{"poll", "poll-reply", "records-request", "records", "feed-request", "feed-reply"} {
		require.True(t, bytes.Contains(sentMessages.Bytes(), []byte(`{"kind":"`+kind+`"`)), kind)
	}
	for _, name := range names {
		require.EqualValues(t, 2, nodes[name].FeedVersion("table/head"), name)
		require.True(t, nodes[name].IsDraining(names[2]), name)
	}
}

// newNode returns the node of host entry-(i+1). Hosts from index 5 on are in region
// kumasi, the others in accra.
func newNode(i int, at *clock) *fleet.Node {
	region := "accra"
	if i >= 5 {
		region = "kumasi"
	}
	return &fleet.Node{
		Self: fleet.Host{
			Name:    fmt.Sprintf("entry-%d", i+1),
			Region:  region,
			Zone:    region + "-a",
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

// putObject writes an object to the store.
func putObject(t *testing.T, memory *store.Memory, key, value string) {
	t.Helper()
	_, err := memory.Put(t.Context(), key, []byte(value), objectstore.Always{})
	require.NoError(t, err)
}

// readStore passes the changes in the store to the node, for each feed that the node
// should read from the store now.
func readStore(t *testing.T, memory *store.Memory, node *fleet.Node) {
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

// TestLimitersExchangeRecordedMessages runs five limiters with a simulated clock and
// seeded random sources. They agree on an allocation, lend each other tokens and admit
// a new limiter. Each message is encoded and decoded before it is delivered.
func TestLimitersExchangeRecordedMessages(t *testing.T) {
	const (
		hosts                = 5
		steps                = 150
		joinStep             = 60
		stepsPerLoadIncrease = 30
	)
	at := newClock()
	memory := &store.Memory{}
	var limiters []*globallimit.Limiter
	var syncers []*globallimit.AllocationSyncer
	byName := make(map[string]*globallimit.Limiter)
	for i := range hosts {
		l := &globallimit.Limiter{
			Host:        fmt.Sprintf("entry-%d", i+1),
			Incarnation: uint64(17 + i),
			Clock:       at.now,
			Rand:        rand.New(rand.NewPCG(uint64(i), 17)),
		}
		l.SetLimits([]globallimit.Limit{
			{
				Name: "team/bright-start",
				Kind: globallimit.Rate{
					PerSecond: 40,
					Burst:     40,
				},
			},
		})
		limiters = append(limiters, l)
		byName[l.Host] = l
		syncers = append(syncers, &globallimit.AllocationSyncer{
			Store:   memory,
			Limiter: l,
		})
	}
	var sentMessages, allocations bytes.Buffer
	for s := range steps {
		var live []globallimit.ProcessID
		for i, l := range limiters {
			if i < hosts-1 || s >= joinStep {
				live = append(live, l.ProcessID())
			}
		}
		var queue []globallimit.Envelope
		for i, l := range limiters[:len(live)] {
			l.SetLiveProcesses(live)
			require.NoError(t, syncers[i].Refresh(t.Context()))
			queue = append(queue, l.Tick()...)
		}
		for range min(s/stepsPerLoadIncrease, 4) {
			limiters[0].Acquire("team/bright-start", 1)
		}
		for len(queue) > 0 {
			body, err := json.Marshal(queue[0])
			require.NoError(t, err)
			fmt.Fprintf(&sentMessages, "%s\n", body)
			var next globallimit.Envelope
			require.NoError(t, json.Unmarshal(body, &next))
			queue = append(queue[1:], byName[next.To].Receive(next.Message)...)
		}
		if now := dumpStore(t, memory, ""); !bytes.HasSuffix(allocations.Bytes(), now) {
			allocations.Write(now)
		}
		at.advance(globallimit.TickInterval)
	}
	requireMasked(t, "flows/holders", sentMessages.Bytes(), fractionPattern)
	requireEqualsRecording(t, "flows/allocations", allocations.Bytes())
	for _, kind := range []string{"beat", "propose", "consent", "ask", "lend"} {
		require.True(t, bytes.Contains(sentMessages.Bytes(), []byte(`"kind":"`+kind+`"`)), kind)
	}
}
