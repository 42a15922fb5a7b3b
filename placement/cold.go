package placement

import (
	"cmp"
	"slices"
	"time"
)

// coldBurst is how many requests a host may send to a cold server at once.
const coldBurst = 1

// Limits on the hosts that send requests to a cold server. Each of these hosts may
// send one request at once regardless of its rate, so there must be few of them.
const (
	// maxLocalColdHosts is for hosts in the server's region.
	maxLocalColdHosts = 6
	// maxRemoteColdHosts is for hosts in all other regions together.
	maxRemoteColdHosts = 3
	// localColdShare is the fraction of the server's cold rate that the hosts in its
	// region divide among themselves.
	localColdShare = 0.8
)

// hasColdToken reports whether this host may send a request to a cold server now.
func (p *Pool) hasColdToken(s *server, now time.Time) bool {
	rate, isLimited := p.coldRate(s)
	if !isLimited {
		return true
	}
	s.coldTokens.Set(now, rate, coldBurst)
	return s.coldTokens.Has(now)
}

// takeColdToken takes a token for a request to a cold server. It reports false if
// there is none.
func (p *Pool) takeColdToken(s *server, now time.Time) bool {
	if _, isLimited := p.coldRate(s); !isLimited {
		return true
	}
	return s.coldTokens.Take(now)
}

// coldRate returns this host's share of a cold server's rate, in requests per
// second. It reports false if the service sets no cold rate.
func (p *Pool) coldRate(s *server) (float64, bool) {
	total := p.settings[s.Service].ColdRate
	if total <= 0 {
		return 0, false
	}
	return total * ColdRateShare(p.Host, s.Region, s.Name, p.hosts), true
}

// ColdRateShare returns the fraction of a cold server's rate that a host may send,
// from 0 to 1. The region is the server's, and hosts are the live hosts by region.
// All hosts compute the shares in the same way, so that their sum is at most one.
//
// Without the division among hosts, a zone of servers that restart cold would
// receive requests from all hosts at once.
func ColdRateShare(host, region, server string, hosts map[string][]string) float64 {
	var remote []string
	for r, names := range hosts {
		if r != region {
			remote = append(remote, names...)
		}
	}
	local := selectColdHosts(server, hosts[region], maxLocalColdHosts)
	remote = selectColdHosts(server, remote, maxRemoteColdHosts)
	share := localColdShare
	if len(local) == 0 {
		share = 0
	}
	switch {
	case slices.Contains(local, host):
		return share / float64(len(local))
	case slices.Contains(remote, host):
		return (1 - share) / float64(len(remote))
	}
	return 0
}

// selectColdHosts returns at most limit of the hosts: those that may send requests
// to the server while it is cold. They are chosen by hash.
func selectColdHosts(server string, hosts []string, limit int) []string {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(HashFraction(a+"\x00"+server), HashFraction(b+"\x00"+server)), cmp.Compare(a, b))
	})
	return sorted[:min(limit, len(sorted))]
}
