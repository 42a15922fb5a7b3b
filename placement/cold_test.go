package placement_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

// hostsOf returns so many hosts in each region.
func hostsOf(counts map[string]int) map[string][]string {
	hosts := make(map[string][]string)
	for region, n := range counts {
		for i := range n {
			hosts[region] = append(hosts[region], fmt.Sprintf("%s-%d", region, i))
		}
	}
	return hosts
}

// TestColdPartsOfAllHostsAreTheWholeAtMost counts what all hosts together send a
// cold server in one second: the rate and one request at once each.
func TestColdPartsOfAllHostsAreTheWholeAtMost(t *testing.T) {
	const (
		rate  = 11.0
		bound = rate*1.5 + 5
	)
	for _, counts := range []map[string]int{
		{"accra": 3, "kumasi": 2, "tamale": 2},
		{"accra": 1},
		{"accra": 30, "kumasi": 4, "tamale": 4},
		{"kumasi": 200, "tamale": 200, "accra": 250},
		{"accra": 0, "kumasi": 7},
	} {
		hosts := hostsOf(counts)
		for _, server := range []string{"a", "b", "c"} {
			sum, senders := 0.0, 0
			for _, names := range hosts {
				for _, host := range names {
					part := placement.ColdRateShare(host, "accra", server, hosts)
					sum += part
					if part > 0 {
						senders++
					}
				}
			}
			require.LessOrEqual(t, sum, 1.0001, "%v", counts)
			require.Greater(t, sum, 0.0, "%v", counts)
			require.LessOrEqual(t, rate*sum+float64(senders), bound, "%v", counts)
		}
	}
}
