package fleet

import (
	"slices"
	"time"
)

// rank returns this host's place among those of its zone.
func (n *Node) rank() int {
	return slices.IndexFunc(n.indexed().zoneOf(n.Self.Zone).ranked, func(m *member) bool {
		return m.Name == n.Self.Name
	})
}

// isReader tells whether this host watches the store for its zone.
func (n *Node) isReader() bool {
	rank := n.rank()
	return rank >= 0 && rank < n.settings.StoreReadersPerZone
}

// parents returns the hosts to poll for what is new: for a reader the next of
// the zone's readers, for another host its parent in the tree.
func (n *Node) parents() []*member {
	ranked, rank := n.indexed().zoneOf(n.Self.Zone).ranked, n.rank()
	if rank < 0 || len(ranked) < 2 {
		return nil
	}
	if rank < n.settings.StoreReadersPerZone {
		readers := min(len(ranked), n.settings.StoreReadersPerZone)
		return []*member{
			ranked[(rank+1)%readers],
		}
	}
	parent := ranked[(rank-n.settings.StoreReadersPerZone)/n.settings.FanOut]
	if parent.misses == 0 {
		return []*member{
			parent,
		}
	}
	// A parent that doesn't answer is polled on, so that its return is seen,
	// and somebody above it stands in.
	return []*member{
		parent,
		ranked[n.Rand.IntN(min(rank, len(ranked)))],
	}
}

// otherReaders returns the hosts that watch the store for this zone, without
// this one.
func (n *Node) otherReaders() []*member {
	var others []*member
	ranked := n.indexed().zoneOf(n.Self.Zone).ranked
	for _, m := range ranked[:min(len(ranked), n.settings.StoreReadersPerZone)] {
		if m.Name != n.Self.Name {
			others = append(others, m)
		}
	}
	return others
}

// childSilence is how many intervals a child may be silent before its parent
// probes it.
const childSilence = 6

// probeTarget returns a host of the zone to check: a child that has fallen
// silent, else any host that isn't gone.
func (n *Node) probeTarget(now time.Duration) *member {
	for _, child := range n.children() {
		silent := now - max(child.heard, child.learned)
		if silent > childSilence*n.settings.TickInterval && child.pending == noPoll {
			return child
		}
	}
	if n.ticks%calmTicks != 0 {
		return nil
	}
	roster := n.indexed().zoneOf(n.Self.Zone).roster
	target := roster[n.Rand.IntN(len(roster))]
	if target.Name == n.Self.Name {
		return nil
	}
	return target
}

// children returns the hosts that poll this one.
func (n *Node) children() []*member {
	ranked, rank := n.indexed().zoneOf(n.Self.Zone).ranked, n.rank()
	if rank < 0 {
		return nil
	}
	first := n.settings.StoreReadersPerZone + rank*n.settings.FanOut
	first = min(first, len(ranked))
	return ranked[first:min(first+n.settings.FanOut, len(ranked))]
}

// Zones polled by each reader per tick, while all is well and in trouble.
const (
	calmZones     = 1
	troubledZones = 2
)

// strayOdds is one in how many polls of another zone goes to any of its hosts
// instead of a reader, in case all its readers were lost at once.
const strayOdds = 4

// remoteTargets returns the hosts of other zones to poll in this tick.
func (n *Node) remoteTargets(now time.Duration) []*member {
	if !n.isReader() {
		return nil
	}
	count := calmZones
	if n.inTrouble(now) {
		count = troubledZones
	}
	var targets []*member
	for range count {
		zone, ok := n.nextZone()
		if !ok {
			break
		}
		if target := n.envoy(zone); target != nil {
			targets = append(targets, target)
		}
	}
	return targets
}

// nextZone goes through the other zones in an order drawn anew each round.
func (n *Node) nextZone() (string, bool) {
	if len(n.cycle) == 0 {
		for _, zone := range n.indexed().zones {
			if zone != n.Self.Zone {
				n.cycle = append(n.cycle, zone)
			}
		}
		n.Rand.Shuffle(len(n.cycle), func(i, j int) {
			n.cycle[i], n.cycle[j] = n.cycle[j], n.cycle[i]
		})
	}
	if len(n.cycle) == 0 {
		return "", false
	}
	zone := n.cycle[0]
	n.cycle = n.cycle[1:]
	return zone, true
}

// envoy returns the host of another zone to poll, mostly one of its readers.
func (n *Node) envoy(zone string) *member {
	x := n.indexed()
	ranked := x.zoneOf(zone).ranked
	if len(ranked) > 0 && n.Rand.IntN(strayOdds) > 0 {
		return ranked[n.Rand.IntN(min(len(ranked), n.settings.StoreReadersPerZone))]
	}
	roster := x.zoneOf(zone).roster
	if len(roster) == 0 {
		return nil
	}
	return roster[n.Rand.IntN(len(roster))]
}
