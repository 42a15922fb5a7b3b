package roster

import "github.com/cespare/xxhash/v2"

// SelectStoreReader returns the host of the region that reads a prefix of the store for the
// others, by the last beats of the live hosts, and whether it is another host than
// the one that asks. All hosts that hear each other find the same one; another takes
// over when it is lost. Hosts that are about to stop read only for themselves.
func SelectStoreReader(prefix, region, self string, live []Heartbeat) (HostRecord, bool) {
	best := HostRecord{
		Name: self,
	}
	highest := xxhash.Sum64String(prefix + "\x00" + self)
	for _, b := range live {
		if b.Region != region || b.Leaving {
			continue
		}
		if score := xxhash.Sum64String(prefix + "\x00" + b.Name); score > highest {
			best, highest = b.HostRecord, score
		}
	}
	return best, best.Name != self
}
