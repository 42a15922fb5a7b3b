package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilline.example/trefoilline/routing"
)

// The rate of a team is divided among its owners. A rate that is divided among too many hosts
// leaves each with less than one request per second, so that requests rarely arrive at a host
// that has a token, and the hosts' smallest bursts add up to more than the team may send.
//
// ratePerOwner is the rate, in requests per second, for which there is one more owner. Each
// region has at least one.
const ratePerOwner = 8

// SelectOwners returns the names of the hosts that divide a team's rate, by region, given the
// live hosts by region. All hosts that know the same live hosts select the same ones, and a
// host that joins or leaves changes only its own place.
func SelectOwners(team routing.Team, hosts map[string][]string) map[string][]string {
	owners := make(map[string][]string, len(hosts))
	perRegion := max(1, int(math.Ceil(team.Rate/ratePerOwner/float64(max(len(hosts), 1)))))
	for region, names := range hosts {
		owners[region] = highestRanked(team.Name, names, perRegion)
	}
	return owners
}

// highestRanked returns the names with the highest scores for a team in rendezvous hashing, the
// highest first.
func highestRanked(team string, names []string, count int) []string {
	score := func(name string) uint64 { return xxhash.Sum64String(team + "\x00" + name) }
	type ranked struct {
		name  string
		score uint64
	}
	all := make([]ranked, len(names))
	for i, name := range names {
		all[i] = ranked{
			name:  name,
			score: score(name),
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	selected := make([]string, min(count, len(all)))
	for i := range selected {
		selected[i] = all[i].name
	}
	return selected
}

// Ownership says which hosts divide the rate of each team. The zero value means that all hosts
// do.
type Ownership struct {
	// Self is the name of this host.
	Self string
	// Owners holds the names of the owners by team and region.
	Owners map[string]map[string][]string
}

// isOwner reports whether a host owns a part of the team's rate.
func (o *Ownership) isOwner(team, host string) bool {
	if o.Owners == nil {
		return true
	}
	for _, names := range o.Owners[team] {
		if slices.Contains(names, host) {
			return true
		}
	}
	return false
}

// count returns the number of the team's owners, given the number of all hosts.
func (o *Ownership) count(team string, hosts int) float64 {
	if o.Owners == nil {
		return float64(max(hosts, 1))
	}
	owners := 0
	for _, names := range o.Owners[team] {
		owners += len(names)
	}
	return float64(max(owners, 1))
}

// SetOwnership sets which hosts divide the rates. It takes effect with the next call of
// SetReports. The maps must not change afterwards.
func (l *Limiter) SetOwnership(ownership Ownership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownership = ownership
}
