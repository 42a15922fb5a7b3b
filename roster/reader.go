package roster

import "github.com/cespare/xxhash/v2"

// SelectStoreReader returns the host of the region that reads a prefix of the platform's store
// on behalf of the region's other hosts, and whether that is another host than self. The
// arguments are the prefix, this host's region and name, and the heartbeats of the live hosts.
//
// The choice is by rendezvous hashing: all hosts that hear each other choose the same host, and
// when it fails they choose another. Hosts do not choose a host that is about to stop, which
// reads the store for itself at most.
func SelectStoreReader(prefix, region, self string, live []Heartbeat) (HostRecord, bool) {
	best := HostRecord{
		Name: self,
	}
	highest := xxhash.Sum64String(prefix + "\x00" + self)
	for _, hb := range live {
		if hb.Region != region || hb.Leaving {
			continue
		}
		if score := xxhash.Sum64String(prefix + "\x00" + hb.Name); score > highest {
			best, highest = hb.HostRecord, score
		}
	}
	return best, best.Name != self
}
