package steer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LookupValidity is how long a caller may use an answer.
	LookupValidity = 10 * time.Second
	// MaxLookupHosts is how many hosts an answer names at most.
	MaxLookupHosts = 6
	// PreferredHostsPerTeam is how many hosts of a region are a team's first choices.
	PreferredHostsPerTeam = 3
	// MinHeadroom is the part of its capacity that a host must have free to
	// be named before others.
	MinHeadroom = 0.05
)

// Host is an entry host as the look-up sees it.
type Host struct {
	Name     string
	Region   string
	Zone     string
	Address  netip.AddrPort
	Draining bool
	// Headroom is the free part of the host's capacity, from 0 to 1. A host
	// whose headroom is not known should be given 1.
	Headroom float64
}

// HostQuery is a caller's look-up.
type HostQuery struct {
	Client netip.Addr
	// Team is the caller's team; empty on open routes.
	Team string
}

// HostSelection names the entry hosts that a caller should try, in order.
type HostSelection struct {
	Hosts []Host
	// Region is the client's region; empty if its block is not known.
	Region string
	// Validity is how long the answer may be used.
	Validity time.Duration
}

// HostSelector answers look-ups from one snapshot of the fleet. It never changes, so
// it is safe for concurrent use.
type HostSelector struct {
	blocks ClientBlocks
	// hosts has the hosts that may be named, best class first, by name.
	hosts    []rankedHost
	byRegion map[string][]rankedHost
}

// rankedHost is a host and the hash of its name.
type rankedHost struct {
	host Host
	hash uint64
	full bool
}

// NewHostSelector returns the look-up over the hosts. Leaving hosts are named only
// if no other is listed.
func NewHostSelector(hosts []Host, blocks ClientBlocks) *HostSelector {
	l := &HostSelector{
		blocks:   blocks,
		byRegion: make(map[string][]rankedHost),
	}
	staying := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool {
		return h.Draining
	})
	if len(staying) == 0 {
		staying = hosts
	}
	for _, h := range staying {
		ranked := rankedHost{
			host: h,
			hash: xxhash.Sum64String(h.Name),
			full: h.Headroom < MinHeadroom,
		}
		l.hosts = append(l.hosts, ranked)
		l.byRegion[h.Region] = append(l.byRegion[h.Region], ranked)
	}
	return l
}

// LookUp answers the look-up, or returns a [NoEntryHostError]. The same question
// to the same snapshot gets the same answer, on every host.
func (l *HostSelector) LookUp(q HostQuery) (HostSelection, error) {
	if len(l.hosts) == 0 {
		return HostSelection{}, &NoEntryHostError{}
	}
	region := l.blocks.RegionOf(q.Client)
	chosen := make([]candidate, 0, MaxLookupHosts)
	team := xxhash.Sum64String(q.Team)
	chosen = best(chosen, l.byRegion[region], team, "")
	spread(chosen, q)
	if len(chosen) < MaxLookupHosts {
		own := len(chosen)
		chosen = best(chosen, l.hosts, team, region)
		if own == 0 {
			spread(chosen, q)
		}
	}
	return HostSelection{
		Hosts:    names(chosen),
		Region:   region,
		Validity: LookupValidity,
	}, nil
}

// candidate is a host with its rank for a team; lower is better.
type candidate struct {
	host *Host
	rank uint64
}

// fullRank is added to the rank of a host without headroom, which puts it
// after all that have some.
const fullRank = 1 << 63

// best adds the team's best hosts, but for those of the region to skip, until
// the answer is full.
func best(chosen []candidate, hosts []rankedHost, team uint64, skip string) []candidate {
	first := len(chosen)
	for i := range hosts {
		h := &hosts[i]
		if skip != "" && h.host.Region == skip {
			continue
		}
		rank := mix(team^h.hash) >> 1
		if h.full {
			rank += fullRank
		}
		chosen = insert(chosen, first, candidate{
			host: &h.host,
			rank: rank,
		})
	}
	return chosen
}

// insert keeps chosen[first:] ordered by rank and the whole at AnswerHosts.
func insert(chosen []candidate, first int, c candidate) []candidate {
	if len(chosen) == MaxLookupHosts {
		if first == MaxLookupHosts || chosen[MaxLookupHosts-1].rank <= c.rank {
			return chosen
		}
		chosen = chosen[:MaxLookupHosts-1]
	}
	at, _ := slices.BinarySearchFunc(chosen[first:], c, func(a, b candidate) int {
		return cmp.Compare(a.rank, b.rank)
	})
	return slices.Insert(chosen, first+at, c)
}

// spread rotates the team's first hosts by the client's address, so that a
// team's callers do not all use the same one. Hosts without headroom stay
// behind.
func spread(chosen []candidate, q HostQuery) {
	count := 0
	for count < min(PreferredHostsPerTeam, len(chosen)) && chosen[count].rank < fullRank {
		count++
	}
	if count < 2 {
		return
	}
	client := q.Client.As16()
	turn := int(mix(xxhash.Sum64(client[:])) % uint64(count))
	rotated := make([]candidate, 0, PreferredHostsPerTeam)
	rotated = append(rotated, chosen[turn:count]...)
	rotated = append(rotated, chosen[:turn]...)
	copy(chosen, rotated)
}

func names(chosen []candidate) []Host {
	hosts := make([]Host, 0, len(chosen))
	for _, c := range chosen {
		hosts = append(hosts, *c.host)
	}
	return hosts
}
