package fleet

import (
	"slices"
	"time"
)

// rank returns this host's position in the ranking of its zone, negative if it
// is not in it.
func (n *Node) rank() int {
	return slices.IndexFunc(n.updatedIndex().zone(n.Self.Zone).ranked, func(m *member) bool {
		return m.Name == n.Self.Name
	})
}

// isStoreReader reports whether this host watches the store for its zone.
func (n *Node) isStoreReader() bool {
	rank := n.rank()
	return rank >= 0 && rank < n.settings.StoreReadersPerZone
}

// pollTargets returns the hosts to poll regularly for changes of feeds. A store
// reader polls the next store reader of the zone, any other host its parent in
// the tree. While the parent does not reply, each call adds another random
// host, so that the second host differs from call to call.
func (n *Node) pollTargets() []*member {
	ranked, rank := n.updatedIndex().zone(n.Self.Zone).ranked, n.rank()
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
	if parent.missedReplies == 0 {
		return []*member{
			parent,
		}
	}
	// A parent that does not reply is still polled, to detect its return. The host
	// that is added ranks higher than this one.
	return []*member{
		parent,
		ranked[n.Rand.IntN(min(rank, len(ranked)))],
	}
}

// otherStoreReaders returns the other store readers of this host's zone.
func (n *Node) otherStoreReaders() []*member {
	var others []*member
	ranked := n.updatedIndex().zone(n.Self.Zone).ranked
	for _, m := range ranked[:min(len(ranked), n.settings.StoreReadersPerZone)] {
		if m.Name != n.Self.Name {
			others = append(others, m)
		}
	}
	return others
}

// childSilenceIntervals is the number of tick intervals without a message of a
// child after which its parent polls it.
const childSilenceIntervals = 6

// probeTarget returns a host of the zone to poll in order to detect a failure:
// a silent child or, at some ticks, a random host that is not removed.
func (n *Node) probeTarget(now time.Duration) *member {
	for _, child := range n.children() {
		silence := now - max(child.lastContact, child.changedAt)
		if silence > childSilenceIntervals*n.settings.TickInterval && child.pendingSince == noPendingPoll {
			return child
		}
	}
	if n.tickCount%normalPollTicks != 0 {
		return nil
	}
	present := n.updatedIndex().zone(n.Self.Zone).present
	target := present[n.Rand.IntN(len(present))]
	if target.Name == n.Self.Name {
		return nil
	}
	return target
}

// children returns the hosts whose parent in the tree is this host.
func (n *Node) children() []*member {
	ranked, rank := n.updatedIndex().zone(n.Self.Zone).ranked, n.rank()
	if rank < 0 {
		return nil
	}
	first := n.settings.StoreReadersPerZone + rank*n.settings.FanOut
	first = min(first, len(ranked))
	return ranked[first:min(first+n.settings.FanOut, len(ranked))]
}

// Number of other zones that each store reader polls at each tick.
const (
	normalRemoteZones   = 1
	degradedRemoteZones = 2
)

// One in anyHostOdds polls of another zone goes to a random host of that zone
// instead of a store reader, in case all its store readers failed at once.
const anyHostOdds = 4

// remoteTargets returns the hosts of other zones to poll at this tick.
func (n *Node) remoteTargets(now time.Duration) []*member {
	if !n.isStoreReader() {
		return nil
	}
	count := normalRemoteZones
	if n.isDegraded(now) {
		count = degradedRemoteZones
	}
	var targets []*member
	for range count {
		zone, ok := n.nextZone()
		if !ok {
			break
		}
		if target := n.remoteTarget(zone); target != nil {
			targets = append(targets, target)
		}
	}
	return targets
}

// nextZone returns the other zones one after the other, in a new random order
// in each round.
func (n *Node) nextZone() (string, bool) {
	if len(n.remainingZones) == 0 {
		for _, zone := range n.updatedIndex().zones {
			if zone != n.Self.Zone {
				n.remainingZones = append(n.remainingZones, zone)
			}
		}
		n.Rand.Shuffle(len(n.remainingZones), func(i, j int) {
			n.remainingZones[i], n.remainingZones[j] = n.remainingZones[j], n.remainingZones[i]
		})
	}
	if len(n.remainingZones) == 0 {
		return "", false
	}
	zone := n.remainingZones[0]
	n.remainingZones = n.remainingZones[1:]
	return zone, true
}

// remoteTarget returns the host of another zone to poll, usually a store
// reader.
func (n *Node) remoteTarget(zone string) *member {
	x := n.updatedIndex()
	ranked := x.zone(zone).ranked
	if len(ranked) > 0 && n.Rand.IntN(anyHostOdds) > 0 {
		return ranked[n.Rand.IntN(min(len(ranked), n.settings.StoreReadersPerZone))]
	}
	present := x.zone(zone).present
	if len(present) == 0 {
		return nil
	}
	return present[n.Rand.IntN(len(present))]
}
