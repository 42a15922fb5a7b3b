package steer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/steer"
)

// caller caches its look-up.
type caller struct {
	address netip.Addr
	team    string
	answer  steer.HostSelection
	until   time.Duration
}

// TestCachedAnswersLeaveAHost has callers with cached look-ups while a host
// leaves: none uses it once the validity is over.
func TestCachedAnswersLeaveAHost(t *testing.T) {
	const (
		leaves = 30 * time.Second
		length = time.Minute
	)
	random := rand.New(rand.NewPCG(1, 1))
	var callers []*caller
	for i := range 200 {
		callers = append(callers, &caller{
			address: netip.AddrFrom4([4]byte{10, 1, byte(i), 1}),
			team:    fmt.Sprintf("team-%d", i%8),
		})
	}
	hosts := entryHosts(7)
	before, after := make(map[string]int), 0
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		hosts[0].Draining = now >= leaves
		c := callers[random.IntN(len(callers))]
		if now >= c.until {
			answer, err := steer.NewHostSelector(hosts, testBlocks).LookUp(steer.HostQuery{
				Client: c.address,
				Team:   c.team,
			})
			require.NoError(t, err)
			c.answer = answer
			c.until = now + answer.Validity
		}
		used := c.answer.Hosts[0].Name
		if now < leaves {
			before[used]++
		}
		if used == "entry-0" && now >= leaves+steer.LookupValidity {
			after++
		}
	}
	require.Positive(t, before["entry-0"])
	require.Zero(t, after)
}

// FuzzAnswer checks that every question to some host gets an answer that names
// each host once.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte{10, 1, 2, 3}, "osu-school", uint8(7), uint8(3))
	f.Add([]byte{}, "", uint8(1), uint8(1))
	f.Fuzz(func(t *testing.T, address []byte, team string, count, leaving uint8) {
		if count == 0 {
			return
		}
		client, _ := netip.AddrFromSlice(address)
		hosts := entryHosts(int(count))
		for i := range hosts[:min(int(leaving), len(hosts))] {
			hosts[i].Draining = true
		}
		answer, err := steer.NewHostSelector(hosts, testBlocks).LookUp(steer.HostQuery{
			Client: client,
			Team:   team,
		})
		require.NoError(t, err)
		require.NotEmpty(t, answer.Hosts)
		seen := make(map[string]bool)
		for _, h := range answer.Hosts {
			require.False(t, seen[h.Name])
			seen[h.Name] = true
		}
	})
}
