package placement_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

// hostNames returns names for the given number of hosts in each region.
func hostNames(counts map[string]int) map[string][]string {
	hosts := make(map[string][]string)
	for region, n := range counts {
		for i := range n {
			hosts[region] = append(hosts[region], fmt.Sprintf("%s-%d", region, i))
		}
	}
	return hosts
}

// TestColdRateSharesSumToAtMostOne guards against more requests to a cold server
// than it accepts. It bounds what all hosts together send in one second: the rate,
// plus one request at once from each host with a share.
func TestColdRateSharesSumToAtMostOne(t *testing.T) {
	for _, coldRate := range []float64{0.5, 3.2, 5.4, 11} {
		t.Run(fmt.Sprintf("%v/s", coldRate), func(t *testing.T) { checkColdRateShares(t, coldRate) })
	}
}

func checkColdRateShares(t *testing.T, coldRate float64) {
	maxRequests := coldRate*1.5 + 5
	for _, counts := range []map[string]int{
		{"accra": 3, "kumasi": 2, "tamale": 2},
		{"accra": 1},
		{"accra": 30, "kumasi": 4, "tamale": 4},
		{"kumasi": 200, "tamale": 200, "accra": 250},
		{"accra": 0, "kumasi": 7},
	} {
		hosts := hostNames(counts)
		for _, server := range []string{"a", "b", "c"} {
			sum, senders := 0.0, 0
			for _, names := range hosts {
				for _, host := range names {
					share := placement.ColdRateShare(host, "accra", server, coldRate, hosts)
					sum += share
					if share > 0 {
						senders++
					}
				}
			}
			require.LessOrEqual(t, sum, 1.0001, "%v", counts)
			require.Greater(t, sum, 0.0, "%v", counts)
			require.LessOrEqual(t, coldRate*sum+float64(senders), maxRequests, "%v", counts)
		}
	}
}
