package placement

import (
	"cmp"
	"slices"
	"time"
)

// coldBurst is how many requests a host may send to a cold server at once.
const coldBurst = 1

// Only a few hosts, the senders, may send requests to a cold server. They must be few
// because each of them has a burst of coldBurst besides its share of the rate. There are a few
// for any rate, and one more for each coldSenderRate of it.
const (
	minColdSenders = 4
	maxColdSenders = 9
	// coldSenderRate is in requests per second.
	coldSenderRate = 2
	// localColdSenders is the fraction of the senders that are in the server's region.
	localColdSenders = 2.0 / 3
	// localSendersShare is the fraction of the rate that a server accepts that the senders
	// in its region divide among themselves.
	localSendersShare = 0.8
)

// hasColdToken updates the rate of this host's token bucket for a cold server, and
// reports whether the bucket has a token for a request now.
func (p *Pool) hasColdToken(s *server, now time.Time) bool {
	rate, isLimited := p.coldRate(s)
	if !isLimited {
		return true
	}
	s.coldTokens.SetRate(now, rate, coldBurst)
	return s.coldTokens.HasToken(now)
}

// takeColdToken takes a token for a request to a cold server. It reports false if
// there is none.
func (p *Pool) takeColdToken(s *server, now time.Time) bool {
	if !p.hasColdToken(s, now) {
		return false
	}
	if _, isLimited := p.coldRate(s); !isLimited {
		return true
	}
	return s.coldTokens.TakeToken(now)
}

// coldRate returns this host's share of a cold server's rate, in requests per
// second. It reports false if the service sets no cold rate.
func (p *Pool) coldRate(s *server) (float64, bool) {
	total := p.serviceConfigs[s.Service].ColdRate
	if total <= 0 {
		return 0, false
	}
	if s.coldGeneration != p.hostsGeneration || p.hostsGeneration == 0 {
		s.coldShare = ColdRateShare(p.Host, s.Region, s.Name, total, p.hosts)
		s.coldGeneration = p.hostsGeneration
	}
	return total * s.coldShare, true
}

// ColdRateShare returns the fraction of a cold server's rate, in requests per second, that a
// host may send, from 0 to 1. The region is the server's, and hosts are those of [Pool.SetHosts].
// All hosts compute the shares in the same way, so that their sum is at most one.
//
// Without the division among hosts, a zone of servers that restart cold would
// receive requests from all hosts at once.
func ColdRateShare(host, region, server string, rate float64, hosts map[string][]string) float64 {
	senders := int(min(minColdSenders+rate/coldSenderRate, maxColdSenders))
	local := int(localColdSenders * float64(senders))
	return rateShare(host, region, server, hosts, local, senders-local)
}

// rateShare returns the fraction of the rate that a server accepts that a host may send, if the
// given numbers of hosts in its region and in all others may send any.
func rateShare(host, region, server string, hosts map[string][]string, maxLocal, maxRemote int) float64 {
	var remote []string
	for r, names := range hosts {
		if r != region {
			remote = append(remote, names...)
		}
	}
	local := selectSenders(server, hosts[region], maxLocal)
	remote = selectSenders(server, remote, maxRemote)
	regionShare := localSendersShare
	if len(local) == 0 {
		regionShare = 0
	}
	switch {
	case slices.Contains(local, host):
		return regionShare / float64(len(local))
	case slices.Contains(remote, host):
		return (1 - regionShare) / float64(len(remote))
	}
	return 0
}

// selectSenders selects, by hash, the hosts that may send requests to the server while
// it is cold: at most limit of the given ones.
func selectSenders(server string, hosts []string, limit int) []string {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(HashFraction(a+"\x00"+server), HashFraction(b+"\x00"+server)), cmp.Compare(a, b))
	})
	return sorted[:min(limit, len(sorted))]
}
