package placement

import (
	"cmp"
	"slices"
	"time"
)

// coldBurst is how many requests a host may send a cold server at once.
const coldBurst = 1

// How many hosts send requests to a cold server, and which part of its rate those
// of its own region share. Each may send one at once, so they must be few.
const (
	nearWarmers = 6
	farWarmers  = 3
	nearPart    = 0.8
)

// mayWarm tells whether a cold server has room for a request of this host now.
func (p *Pool) mayWarm(s *server, now time.Time) bool {
	rate, isBound := p.coldRate(s)
	if !isBound {
		return true
	}
	s.cold.SetRate(now, rate, coldBurst)
	return s.cold.HasToken(now)
}

// warm takes a token for a request to a cold server, or reports false.
func (p *Pool) warm(s *server, now time.Time) bool {
	if _, isBound := p.coldRate(s); !isBound {
		return true
	}
	return s.cold.TakeToken(now)
}

// coldRate is this host's part of what a cold server takes from all hosts. It
// reports false if that is not bounded.
func (p *Pool) coldRate(s *server) (float64, bool) {
	whole := p.settings[s.Service].ColdRate
	if whole <= 0 {
		return 0, false
	}
	return whole * ColdRateShare(p.Host, s.Region, s.Name, p.hosts), true
}

// ColdRateShare is the part of a cold server's rate that a host may send, given the live
// hosts of each region. All hosts find parts whose sum is one at most.
//
// It answers a zone of servers that come back cold while all hosts have requests
// for them.
func ColdRateShare(host, region, server string, hosts map[string][]string) float64 {
	var far []string
	for r, names := range hosts {
		if r != region {
			far = append(far, names...)
		}
	}
	near := warmers(server, hosts[region], nearWarmers)
	far = warmers(server, far, farWarmers)
	part := nearPart
	if len(near) == 0 {
		part = 0
	}
	switch {
	case slices.Contains(near, host):
		return part / float64(len(near))
	case slices.Contains(far, host):
		return (1 - part) / float64(len(far))
	}
	return 0
}

// warmers are the hosts that send requests to the server while it is cold.
func warmers(server string, hosts []string, most int) []string {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(HashFraction(a+"\x00"+server), HashFraction(b+"\x00"+server)), cmp.Compare(a, b))
	})
	return sorted[:min(most, len(sorted))]
}
