package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/membership"
)

var (
	largeSize = membership.Size{
		Cores:        0.8,
		LinkMegabits: 200,
	}
	smallSize = membership.Size{
		Cores:        0.16,
		LinkMegabits: 10,
	}
)

// hostsOfSize returns as many hosts of a size in each of two zones.
func hostsOfSize(prefix string, perZone int, size membership.Size) []membership.HostRecord {
	var hosts []membership.HostRecord
	for i := range perZone {
		for _, zone := range []string{"accra-a", "accra-b"} {
			hosts = append(hosts, membership.HostRecord{
				Name: fmt.Sprintf("%s-%s-%d", prefix, zone, i),
				Zone: zone,
				Size: size,
			})
		}
	}
	return hosts
}

// region has four large hosts, and twenty that have a fifth of their processor and a twentieth of their bandwidth.
func region() []membership.HostRecord {
	return append(hostsOfSize("small", 10, smallSize), hostsOfSize("large", 2, largeSize)...)
}

func namesOf(hosts []membership.HostRecord) []string {
	var names []string
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	return names
}

// TestSmallHostsAreNamedOnlyUnderLoad guards against small hosts that get as many callers as large ones, and against large
// hosts that get more than they have room for.
func TestSmallHostsAreNamedOnlyUnderLoad(t *testing.T) {
	var tiers membership.CallerTiers
	large := namesOf(hostsOfSize("large", 2, largeSize))
	for _, c := range []struct {
		load  membership.CallerLoad
		named int
	}{
		{},
		{
			load: membership.CallerLoad{
				Requests: 1000,
			},
		},
		{
			// The processors are full.
			load: membership.CallerLoad{
				Requests: 1500,
			},
			named: 24,
		},
		{
			// The wave falls, but not far.
			load: membership.CallerLoad{
				Requests: 1000,
			},
			named: 24,
		},
		{
			load: membership.CallerLoad{
				Requests: 700,
			},
		},
		{
			// The links are full.
			load: membership.CallerLoad{
				Requests: 100,
				Megabits: 600,
			},
			named: 24,
		},
	} {
		selected := tiers.Select(region(), c.load)
		if c.named == 0 {
			require.ElementsMatch(t, large, namesOf(selected), "%+v", c.load)
			continue
		}
		require.Len(t, selected, c.named, "%+v", c.load)
	}
}

// TestHostsOfAboutOneSizeAreAllNamed guards against a change for deployments whose hosts differ by less than a factor of two,
// or do not know their size.
func TestHostsOfAboutOneSizeAreAllNamed(t *testing.T) {
	somewhatSmaller := largeSize
	somewhatSmaller.Cores *= 0.6
	var unknown membership.Size
	for _, size := range []membership.Size{
		largeSize,
		somewhatSmaller,
		unknown,
	} {
		var tiers membership.CallerTiers
		hosts := append(hostsOfSize("a", 2, largeSize), hostsOfSize("b", 3, size)...)
		require.Len(t, tiers.Select(hosts, membership.CallerLoad{}), len(hosts), "%+v", size)
	}
}

// TestCallersHaveOtherHostsWhenLargeOnesAreLost guards against lookups that name one host, or the hosts of one zone, while
// there are others.
func TestCallersHaveOtherHostsWhenLargeOnesAreLost(t *testing.T) {
	small, large := hostsOfSize("small", 10, smallSize), hostsOfSize("large", 2, largeSize)
	three := hostsOfSize("large", 3, largeSize)
	for name, left := range map[string][]membership.HostRecord{
		"one":                   large[:1],
		"two, one of each zone": large[:2],
		"two of one zone":       {large[0], large[2]},
		"three of one zone":     {three[0], three[2], three[4]},
		"none":                  nil,
	} {
		var tiers membership.CallerTiers
		selected := tiers.Select(append(left, small...), membership.CallerLoad{})
		require.Len(t, selected, len(left)+len(small), name)
	}
	var tiers membership.CallerTiers
	require.Empty(t, tiers.Select(nil, membership.CallerLoad{}))
	require.Len(t, tiers.Select(large[:1], membership.CallerLoad{}), 1)
}

// TestLoadsOfARegionAddUp guards against a region whose load is that of one host.
func TestLoadsOfARegionAddUp(t *testing.T) {
	report := membership.Heartbeat{
		CallerLoad: membership.CallerLoad{
			Requests: 20,
			Megabits: 3,
		},
	}
	summary := membership.Summarize("accra", []membership.Heartbeat{report, report})
	require.Equal(t, membership.CallerLoad{
		Requests: 40,
		Megabits: 6,
	}, summary.CallerLoad)
}
