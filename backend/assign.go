package backend

import "github.com/cespare/xxhash/v2"

// ProbersPerServer is the number of entry hosts that probe each server. It is fixed,
// so that the rate of probes to a server does not grow with the number of hosts.
const ProbersPerServer = 7

// ShouldProbe reports whether the host is one of those that probe the server, by
// rendezvous hashing over the live hosts. If the hosts' lists of live hosts
// differ, the server may have more probers, which is harmless, or fewer.
func ShouldProbe(server, host string, hosts []string) bool {
	rank := probeRank(server, host)
	lowerRanked := 0
	for _, other := range hosts {
		if other != host && probeRank(server, other) < rank {
			lowerRanked++
		}
	}
	return lowerRanked < ProbersPerServer
}

// probeRank returns the rendezvous hash of a server and a host; the hosts with the
// lowest ranks probe the server.
func probeRank(server, host string) uint64 {
	return xxhash.Sum64String(server + "/" + host)
}
