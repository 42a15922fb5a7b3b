package membership

import (
	"maps"

	"trefoilline.example/trefoilline/objectstore"
)

// storeVersions holds, by prefix of the store, the version of the latest change that a host
// knows.
type storeVersions map[string]objectstore.Version

// raise raises the versions of the known prefixes to those of another host.
func (v storeVersions) raise(other storeVersions) {
	for prefix, version := range v {
		v[prefix] = max(version, other[prefix])
	}
}

// newestStoreVersions returns the versions that the hosts of a relay's own region know, and
// those that any host knows, as far as the relay has heard. They go to the relays of other
// regions and to the hosts of its region, so that no version is passed on in a circle.
func (r *Roster) newestStoreVersions(own Heartbeat) (region, fleet storeVersions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	region = maps.Clone(own.StoreVersions)
	for name, last := range r.received {
		if last.heartbeat.Region == own.Region && r.isLive(name, now) {
			region.raise(last.heartbeat.StoreVersions)
		}
	}
	fleet = maps.Clone(region)
	for _, view := range r.relayViews {
		if view.region != own.Region && now.Sub(view.receivedAt) <= relayTimeout {
			fleet.raise(view.storeVersions)
		}
	}
	return region, fleet
}
