package backend

import "github.com/cespare/xxhash/v2"

// ProbersPerServer is how many entry hosts probe each server, so that the probes that
// a server gets do not grow with the fleet.
const ProbersPerServer = 7

// Assigned reports whether the host is among those that probe the server, by
// rendezvous hashing over the live hosts. Hosts whose views of the fleet differ
// may both probe it, which is harmless.
func ShouldProbe(server, host string, hosts []string) bool {
	own := probeRank(server, host)
	before := 0
	for _, other := range hosts {
		if other != host && probeRank(server, other) < own {
			before++
		}
	}
	return before < ProbersPerServer
}

func probeRank(server, host string) uint64 {
	return xxhash.Sum64String(server + "/" + host)
}
