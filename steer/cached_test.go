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

// caller is a caller that caches its look-up until its validity is over.
type caller struct {
	address  netip.Addr
	team     string
	response steer.HostSelection
	until    time.Duration
}

// TestCallersLeaveDrainingHostWithinValidity guards against callers that
// still use a draining host once their cached look-ups have expired.
func TestCallersLeaveDrainingHostWithinValidity(t *testing.T) {
	const (
		drainTime = 30 * time.Second
		length    = time.Minute
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
	usesBeforeDrain, usesAfterValidity := make(map[string]int), 0
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		hosts[0].Draining = now >= drainTime
		c := callers[random.IntN(len(callers))]
		if now >= c.until {
			response, err := steer.NewHostSelector(hosts, testBlocks).LookUp(steer.HostQuery{
				Client: c.address,
				Team:   c.team,
			})
			require.NoError(t, err)
			c.response = response
			c.until = now + response.Validity
		}
		used := c.response.Hosts[0].Name
		if now < drainTime {
			usesBeforeDrain[used]++
		}
		if used == "entry-0" && now >= drainTime+steer.LookupValidity {
			usesAfterValidity++
		}
	}
	require.Positive(t, usesBeforeDrain["entry-0"])
	require.Zero(t, usesAfterValidity)
}

// FuzzLookUp checks that every look-up over at least one host returns hosts
// and names none of them twice.
func FuzzLookUp(f *testing.F) {
	f.Add([]byte{10, 1, 2, 3}, "osu-school", uint8(7), uint8(3))
	f.Add([]byte{}, "", uint8(1), uint8(1))
	f.Fuzz(func(t *testing.T, address []byte, team string, count, drainingCount uint8) {
		if count == 0 {
			return
		}
		client, _ := netip.AddrFromSlice(address)
		hosts := entryHosts(int(count))
		for i := range hosts[:min(int(drainingCount), len(hosts))] {
			hosts[i].Draining = true
		}
		response, err := steer.NewHostSelector(hosts, testBlocks).LookUp(steer.HostQuery{
			Client: client,
			Team:   team,
		})
		require.NoError(t, err)
		require.NotEmpty(t, response.Hosts)
		seen := make(map[string]bool)
		for _, h := range response.Hosts {
			require.False(t, seen[h.Name])
			seen[h.Name] = true
		}
	})
}
