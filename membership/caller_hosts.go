package membership

import (
	"cmp"
	"slices"
)

// Size is what the machine of a host has. A field that is zero is not known.
type Size struct {
	// Cores is the processor time that the host may use, in seconds of a usual core per second.
	Cores float64 `json:"cores,omitempty"`
	// LinkMegabits is the bandwidth of the machine's link in each direction, in Mbit/s.
	LinkMegabits float64 `json:"link-megabits,omitempty"`
}

// CallerLoad is the load that callers put on one or more hosts.
type CallerLoad struct {
	// Requests is in requests per second.
	Requests float64 `json:"requests,omitempty"`
	// Megabits is what passes the links in each direction, in Mbit/s.
	Megabits float64 `json:"megabits,omitempty"`
}

// Add returns the sum of two loads.
func (l CallerLoad) Add(other CallerLoad) CallerLoad {
	return CallerLoad{
		Requests: l.Requests + other.Requests,
		Megabits: l.Megabits + other.Megabits,
	}
}

// requestsPerCore is how many requests per second a host serves with one core, with what it
// spends on control.
const requestsPerCore = 600

// A further tier of hosts is named while the hosts of the tiers before it would be utilized by more than
// maxCallerUtilization. It is no longer named once they would be utilized by less than
// minCallerUtilization. The gap keeps callers from changing hosts with each change of the load.
const (
	maxCallerUtilization = 0.6
	minCallerUtilization = 0.4
)

// tierRatio is the smallest capacity in a tier relative to its largest.
const tierRatio = 0.5

// minNamedHosts is how many hosts are named at least, so that callers have others if one fails.
const minNamedHosts = 3

// CallerTiers selects the hosts of a region that lookups name. Callers pick one of the named hosts at random, so small
// hosts would get as many requests as large ones. The hosts are divided into tiers by size, and only as many tiers are
// named, the largest hosts first, as have room for the load. With fewer hosts there are also fewer
// connections to each backend server, and each host knows more of the servers' load. If all hosts are of about
// the same size, all are named.
//
// It answers these loads: hosts of a region that differ five times in processor and twenty times in bandwidth; the loss of
// the large hosts, or a burst that exceeds their room, after which the small ones are named too.
//
// The zero value is ready for use. It is not safe for concurrent use.
type CallerTiers struct {
	// named is how many tiers were named last.
	named int
}

// Select returns the hosts to name, given all hosts of the region that accept callers and the load of
// the region's callers.
func (t *CallerTiers) Select(hosts []HostRecord, load CallerLoad) []HostRecord {
	tiers := tiersOf(hosts)
	var selected []HostRecord
	for i, tier := range tiers {
		selected = append(selected, tier...)
		limit := maxCallerUtilization
		if i+1 < t.named {
			limit = minCallerUtilization
		}
		isEnough := len(selected) >= minNamedHosts && spansZones(selected, hosts) && utilizationOf(selected, load) <= limit
		if isEnough {
			t.named = i + 1
			return selected
		}
	}
	t.named = len(tiers)
	return selected
}

// tiersOf divides the hosts into tiers, the largest hosts first.
func tiersOf(hosts []HostRecord) [][]HostRecord {
	var largest Size
	for _, h := range hosts {
		largest.Cores = max(largest.Cores, h.Size.Cores)
		largest.LinkMegabits = max(largest.LinkMegabits, h.Size.LinkMegabits)
	}
	sorted := slices.Clone(hosts)
	slices.SortStableFunc(sorted, func(a, b HostRecord) int {
		return cmp.Compare(b.Size.relativeTo(largest), a.Size.relativeTo(largest))
	})
	var tiers [][]HostRecord
	first := 0.0
	for _, h := range sorted {
		capacity := h.Size.relativeTo(largest)
		if len(tiers) == 0 || capacity < tierRatio*first {
			tiers = append(tiers, nil)
			first = capacity
		}
		tiers[len(tiers)-1] = append(tiers[len(tiers)-1], h)
	}
	return tiers
}

// relativeTo returns the capacity relative to the largest host, by the scarcer of the resources. What is not known does
// not count.
func (s Size) relativeTo(largest Size) float64 {
	capacity := 1.0
	if s.Cores > 0 {
		capacity = min(capacity, s.Cores/largest.Cores)
	}
	if s.LinkMegabits > 0 {
		capacity = min(capacity, s.LinkMegabits/largest.LinkMegabits)
	}
	return capacity
}

// spansZones reports whether the selected hosts are in two availability zones, or all hosts are in one.
func spansZones(selected, all []HostRecord) bool {
	return inTwoZones(selected) || !inTwoZones(all)
}

func inTwoZones(hosts []HostRecord) bool {
	return slices.ContainsFunc(hosts, func(h HostRecord) bool { return h.Zone != hosts[0].Zone })
}

// utilizationOf returns the utilization of the hosts by the load, of the scarcer of the resources. It is zero for hosts
// of unknown size.
func utilizationOf(hosts []HostRecord, load CallerLoad) float64 {
	var room Size
	for _, h := range hosts {
		if h.Size.Cores == 0 || h.Size.LinkMegabits == 0 {
			return 0
		}
		room.Cores += h.Size.Cores
		room.LinkMegabits += h.Size.LinkMegabits
	}
	return max(load.Requests/(room.Cores*requestsPerCore), load.Megabits/room.LinkMegabits)
}
