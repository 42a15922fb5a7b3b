package steer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

var regionNames = []string{"accra", "kumasi", "tamale"}

// entryHosts lists count hosts over the regions.
func entryHosts(count int) []steer.Host {
	hosts := make([]steer.Host, 0, count)
	for i := range count {
		hosts = append(hosts, steer.Host{
			Name:     fmt.Sprintf("entry-%d", i),
			Region:   regionNames[i%len(regionNames)],
			Headroom: 1,
		})
	}
	return hosts
}

var testBlocks = steer.NewClientBlocks([]table.ClientBlock{
	{
		Prefix: netip.MustParsePrefix("10.1.0.0/16"),
		Region: "accra",
	},
	{
		Prefix: netip.MustParsePrefix("10.1.2.0/24"),
		Region: "tamale",
	},
})

func ask(t *testing.T, l *steer.HostSelector, client string) steer.HostSelection {
	t.Helper()
	answer, err := l.LookUp(steer.HostQuery{
		Client: netip.MustParseAddr(client),
		Team:   "osu-school",
	})
	require.NoError(t, err)
	return answer
}

func TestAnswerPutsOwnRegionFirst(t *testing.T) {
	l := steer.NewHostSelector(entryHosts(7), testBlocks)
	answer := ask(t, l, "10.1.7.7")
	require.Equal(t, "accra", answer.Region)
	require.Len(t, answer.Hosts, steer.MaxLookupHosts)
	for _, h := range answer.Hosts[:3] {
		require.Equal(t, "accra", h.Region)
	}
	require.Equal(t, "tamale", ask(t, l, "10.1.2.1").Hosts[0].Region)
	require.Equal(t, answer, ask(t, l, "10.1.7.7"))
}

func TestAnswerForUnknownBlock(t *testing.T) {
	l := steer.NewHostSelector(entryHosts(7), steer.ClientBlocks{})
	answer := ask(t, l, "2001:db8::1")
	require.Empty(t, answer.Region)
	require.Len(t, answer.Hosts, steer.MaxLookupHosts)
}

func TestAnswerLeavesOutLeavingHosts(t *testing.T) {
	hosts := entryHosts(7)
	hosts[0].Draining = true
	hosts[3].Headroom = 0
	answer := ask(t, steer.NewHostSelector(hosts, testBlocks), "10.1.7.7")
	require.Equal(t, "entry-6", answer.Hosts[0].Name)
	require.Equal(t, "entry-3", answer.Hosts[1].Name)
	for _, h := range answer.Hosts {
		require.NotEqual(t, "entry-0", h.Name)
	}
	for i := range hosts {
		hosts[i].Draining = true
	}
	require.NotEmpty(t, ask(t, steer.NewHostSelector(hosts, testBlocks), "10.1.7.7").Hosts)
	_, err := steer.NewHostSelector(nil, testBlocks).LookUp(steer.HostQuery{})
	var none *steer.NoEntryHostError
	require.ErrorAs(t, err, &none)
}

func TestAnswerSpreadsATeam(t *testing.T) {
	l := steer.NewHostSelector(entryHosts(30), testBlocks)
	first := make(map[string]int)
	for i := range 250 {
		first[ask(t, l, fmt.Sprintf("10.1.9.%d", i)).Hosts[0].Name]++
	}
	require.Len(t, first, steer.PreferredHostsPerTeam)
}
