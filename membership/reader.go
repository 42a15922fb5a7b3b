package membership

import "github.com/cespare/xxhash/v2"

// SelectStoreReader returns the host of the region that reads a prefix of the platform's store
// on behalf of the region's other hosts, and whether that is another host than this one. The
// arguments are the prefix, this host's region and name, and the heartbeats of the live
// hosts. If the selected host is this one, only the Name of the record is set.
//
// The selection is by rendezvous hashing: all hosts that receive each other's heartbeats
// select the same host, and when it fails they select another. A host that is about to stop is
// not selected by others. It may still select itself, and then reads the store for
// itself only.
func SelectStoreReader(prefix, region, selfName string, live []Heartbeat) (HostRecord, bool) {
	best := HostRecord{
		Name: selfName,
	}
	highest := xxhash.Sum64String(prefix + "\x00" + selfName)
	for _, hb := range live {
		if hb.Region != region || hb.Draining {
			continue
		}
		if score := xxhash.Sum64String(prefix + "\x00" + hb.Name); score > highest {
			best, highest = hb.HostRecord, score
		}
	}
	return best, best.Name != selfName
}
