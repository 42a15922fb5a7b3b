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

// entryHosts returns count hosts, distributed over the regions in turn.
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

// testBlocks has a block of the region accra, and inside it a smaller block of
// the region tamale.
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

// lookUp looks up entry hosts for a client of one team.
func lookUp(t *testing.T, selector *steer.HostSelector, client string) steer.HostSelection {
	t.Helper()
	response, err := selector.LookUp(steer.HostQuery{
		Client: netip.MustParseAddr(client),
		Team:   "osu-school",
	})
	require.NoError(t, err)
	return response
}

func TestLookUpPutsClientRegionFirst(t *testing.T) {
	selector := steer.NewHostSelector(entryHosts(7), testBlocks)
	response := lookUp(t, selector, "10.1.7.7")
	require.Equal(t, "accra", response.Region)
	require.Len(t, response.Hosts, steer.MaxLookupHosts)
	for _, h := range response.Hosts[:3] {
		require.Equal(t, "accra", h.Region)
	}
	require.Equal(t, "tamale", lookUp(t, selector, "10.1.2.1").Hosts[0].Region)
	require.Equal(t, response, lookUp(t, selector, "10.1.7.7"))
}

func TestLookUpOfUnknownClientReturnsHosts(t *testing.T) {
	selector := steer.NewHostSelector(entryHosts(7), steer.ClientBlocks{})
	response := lookUp(t, selector, "2001:db8::1")
	require.Empty(t, response.Region)
	require.Len(t, response.Hosts, steer.MaxLookupHosts)
}

func TestLookUpPrefersHostsWithHeadroomAndOmitsDrainingHosts(t *testing.T) {
	hosts := entryHosts(7)
	hosts[0].Draining = true
	hosts[3].Headroom = 0
	response := lookUp(t, steer.NewHostSelector(hosts, testBlocks), "10.1.7.7")
	require.Equal(t, "entry-6", response.Hosts[0].Name)
	require.Equal(t, "entry-3", response.Hosts[1].Name)
	for _, h := range response.Hosts {
		require.NotEqual(t, "entry-0", h.Name)
	}
	for i := range hosts {
		hosts[i].Draining = true
	}
	require.NotEmpty(t, lookUp(t, steer.NewHostSelector(hosts, testBlocks), "10.1.7.7").Hosts)
	_, err := steer.NewHostSelector(nil, testBlocks).LookUp(steer.HostQuery{})
	var noHost *steer.NoEntryHostError
	require.ErrorAs(t, err, &noHost)
}

func TestLookUpSpreadsTeamOverPreferredHosts(t *testing.T) {
	selector := steer.NewHostSelector(entryHosts(30), testBlocks)
	firstHosts := make(map[string]int)
	for i := range 250 {
		firstHosts[lookUp(t, selector, fmt.Sprintf("10.1.9.%d", i)).Hosts[0].Name]++
	}
	require.Len(t, firstHosts, steer.PreferredHostsPerTeam)
}
