package steer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LookupValidity is how long a caller may use a selection.
	LookupValidity = 10 * time.Second
	// MaxLookupHosts is the most hosts that a selection names.
	MaxLookupHosts = 6
	// PreferredHostsPerTeam is the number of best-ranked hosts among which
	// the callers of a team are spread.
	PreferredHostsPerTeam = 3
	// MinHeadroom is the free share of its capacity below which a host is
	// ranked after all hosts with headroom, within the client's region and
	// within the other regions.
	MinHeadroom = 0.05
)

// Host is an entry host that a look-up can return.
type Host struct {
	Name    string
	Region  string
	Zone    string
	Address netip.AddrPort
	// Draining hosts are returned only if all hosts are draining.
	Draining bool
	// Headroom is the free share of the host's capacity, from 0 to 1. Set it
	// to 1 for a host whose headroom is not known.
	Headroom float64
}

// HostQuery asks which entry hosts a caller should contact. Client is the
// address of the caller.
type HostQuery struct {
	Client netip.Addr
	// Team is the caller's team; empty on routes that need no API key.
	Team string
}

// HostSelection names the entry hosts that a caller should try, in order.
type HostSelection struct {
	Hosts []Host
	// Region is the client's region; empty if its block is not known.
	Region string
	// Validity is how long the caller may use the selection.
	Validity time.Duration
}

// HostSelector answers look-ups from one snapshot of the fleet. It does not
// change after NewHostSelector, so it is safe for concurrent use.
type HostSelector struct {
	blocks ClientBlocks
	// hosts are the hosts that may be returned, in the order given to
	// NewHostSelector.
	hosts    []hashedHost
	byRegion map[string][]hashedHost
}

// hashedHost is a host with the hash of its name.
type hashedHost struct {
	host          Host
	hash          uint64
	lacksHeadroom bool
}

// NewHostSelector returns a selector over the hosts. Draining hosts are
// returned only if all hosts are draining.
func NewHostSelector(hosts []Host, blocks ClientBlocks) *HostSelector {
	selector := &HostSelector{
		blocks:   blocks,
		byRegion: make(map[string][]hashedHost),
	}
	available := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool {
		return h.Draining
	})
	if len(available) == 0 {
		available = hosts
	}
	for _, h := range available {
		hashed := hashedHost{
			host:          h,
			hash:          xxhash.Sum64String(h.Name),
			lacksHeadroom: h.Headroom < MinHeadroom,
		}
		selector.hosts = append(selector.hosts, hashed)
		selector.byRegion[h.Region] = append(selector.byRegion[h.Region], hashed)
	}
	return selector
}

// LookUp returns entry hosts for the caller, those of the client's region
// first. It returns a [NoEntryHostError] if there are no hosts. Every host
// returns the same selection for the same query from the same snapshot.
func (s *HostSelector) LookUp(q HostQuery) (HostSelection, error) {
	if len(s.hosts) == 0 {
		return HostSelection{}, &NoEntryHostError{}
	}
	region := s.blocks.RegionOf(q.Client)
	chosen := make([]candidate, 0, MaxLookupHosts)
	teamHash := xxhash.Sum64String(q.Team)
	chosen = appendBest(chosen, s.byRegion[region], teamHash, "")
	rotateByClient(chosen, q)
	if len(chosen) < MaxLookupHosts {
		localCount := len(chosen)
		chosen = appendBest(chosen, s.hosts, teamHash, region)
		if localCount == 0 {
			rotateByClient(chosen, q)
		}
	}
	return HostSelection{
		Hosts:    hostsOf(chosen),
		Region:   region,
		Validity: LookupValidity,
	}, nil
}

// candidate is a host with its rank for a team; a lower rank is better.
type candidate struct {
	host *Host
	rank uint64
}

// noHeadroomRank is added to the rank of a host that lacks headroom, which
// ranks it after all hosts that have headroom.
const noHeadroomRank = 1 << 63

// appendBest appends the hosts with the lowest ranks for the team, without
// those of skipRegion, until there are MaxLookupHosts. An empty skipRegion
// skips none.
func appendBest(chosen []candidate, hosts []hashedHost, teamHash uint64, skipRegion string) []candidate {
	first := len(chosen)
	for i := range hosts {
		h := &hosts[i]
		if skipRegion != "" && h.host.Region == skipRegion {
			continue
		}
		rank := mixBits(teamHash^h.hash) >> 1
		if h.lacksHeadroom {
			rank += noHeadroomRank
		}
		chosen = insertByRank(chosen, first, candidate{
			host: &h.host,
			rank: rank,
		})
	}
	return chosen
}

// insertByRank inserts the candidate into chosen[first:], which is ordered by
// rank, and drops the last of chosen if there are more than MaxLookupHosts.
func insertByRank(chosen []candidate, first int, c candidate) []candidate {
	if len(chosen) == MaxLookupHosts {
		if first == MaxLookupHosts || chosen[MaxLookupHosts-1].rank <= c.rank {
			return chosen
		}
		chosen = chosen[:MaxLookupHosts-1]
	}
	index, _ := slices.BinarySearchFunc(chosen[first:], c, func(a, b candidate) int {
		return cmp.Compare(a.rank, b.rank)
	})
	return slices.Insert(chosen, first+index, c)
}

// rotateByClient rotates the first PreferredHostsPerTeam hosts by a hash of
// the client's address, so that a team's callers do not all use the same host
// first. Hosts that lack headroom are not rotated to the front.
func rotateByClient(chosen []candidate, q HostQuery) {
	count := 0
	for count < min(PreferredHostsPerTeam, len(chosen)) && chosen[count].rank < noHeadroomRank {
		count++
	}
	if count < 2 {
		return
	}
	client := q.Client.As16()
	offset := int(mixBits(xxhash.Sum64(client[:])) % uint64(count))
	rotated := make([]candidate, 0, PreferredHostsPerTeam)
	rotated = append(rotated, chosen[offset:count]...)
	rotated = append(rotated, chosen[:offset]...)
	copy(chosen, rotated)
}

func hostsOf(chosen []candidate) []Host {
	hosts := make([]Host, 0, len(chosen))
	for _, c := range chosen {
		hosts = append(hosts, *c.host)
	}
	return hosts
}
