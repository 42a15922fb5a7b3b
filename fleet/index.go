package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// index holds values that are computed from the member records. A changed
// record marks its zone as dirty, and only dirty zones are recomputed.
type index struct {
	// all lists the members in order of name.
	all []*member
	// zones are the names of the zones that have members which are not removed, in
	// order.
	zones  []string
	byZone map[string]*zoneIndex
	// hash is the sum of the hashes of all zones.
	hash uint64
	// zoneNamesHash and hostNamesHash are hashes of the names of the zones and of
	// the members that are not removed.
	zoneNamesHash uint32
	hostNamesHash uint32
	// isDirty is true if any zone is dirty. hasNameChanges is true if members were
	// added or removed.
	isDirty        bool
	hasNameChanges bool
}

// zoneIndex holds values that are computed from the records of one zone.
type zoneIndex struct {
	members []*member
	// present lists the members that are not removed, in order of name.
	present []*member
	// ranked lists the live members in an order that all hosts with the same
	// records compute alike. It determines the store readers and the tree of
	// parents.
	ranked []*member
	// hash is the sum of the hashes of the present members' records, hostNamesHash
	// a hash of their names.
	hash          uint64
	hostNamesHash uint32
	isDirty       bool
}

// zone returns the index of a zone, which is empty if the zone has no members.
func (x *index) zone(name string) *zoneIndex {
	zone := x.byZone[name]
	if zone == nil {
		zone = &zoneIndex{}
		x.byZone[name] = zone
	}
	return zone
}

// markDirty marks the member's zone as changed.
func (x *index) markDirty(m *member) {
	m.rendezvousHash = rendezvousHash(m.Host)
	m.recordHash = m.MemberRecord.contentHash()
	x.zone(m.Zone).isDirty = true
	x.isDirty = true
}

// insert adds a member in order of name.
func (x *index) insert(m *member) {
	x.all = insertByName(x.all, m)
	zone := x.zone(m.Zone)
	zone.members = insertByName(zone.members, m)
	x.hasNameChanges = true
	x.markDirty(m)
}

func (x *index) remove(m *member) {
	isMember := func(other *member) bool { return other == m }
	x.all = slices.DeleteFunc(x.all, isMember)
	zone := x.zone(m.Zone)
	zone.members = slices.DeleteFunc(zone.members, isMember)
	x.hasNameChanges = true
	x.markDirty(m)
}

func insertByName(members []*member, m *member) []*member {
	at, _ := slices.BinarySearchFunc(members, m.Name, func(a *member, name string) int {
		return cmp.Compare(a.Name, name)
	})
	return slices.Insert(members, at, m)
}

// updatedIndex recomputes the dirty parts of the index and returns it.
func (n *Node) updatedIndex() *index {
	x := &n.index
	if !x.isDirty {
		return x
	}
	for _, zone := range x.byZone {
		if zone.isDirty {
			zone.recompute()
		}
	}
	if x.hasNameChanges {
		x.recomputeNames()
	}
	x.hash = 0
	for _, zone := range x.byZone {
		x.hash += zone.hash
	}
	x.isDirty = false
	x.hasNameChanges = false
	return x
}

// shortHash returns the hash of all records in the form used in messages.
func (x *index) shortHash() uint32 { return uint32(x.hash) }

// recompute recomputes the values that depend on the zone's records.
func (z *zoneIndex) recompute() {
	z.isDirty = false
	z.hash = 0
	z.present = z.present[:0:0]
	z.ranked = z.ranked[:0:0]
	names := xxhash.New()
	for _, m := range z.members {
		if m.State == Removed {
			continue
		}
		z.present = append(z.present, m)
		z.hash += m.recordHash
		_, _ = names.WriteString(m.Name + "\n")
		if m.State == Alive {
			z.ranked = append(z.ranked, m)
		}
	}
	z.hostNamesHash = uint32(names.Sum64())
	slices.SortFunc(z.ranked, compareRank)
}

// recomputeNames recomputes the values that depend on the names of hosts and
// zones.
func (x *index) recomputeNames() {
	x.zones = nil
	for name, zone := range x.byZone {
		if len(zone.present) > 0 {
			x.zones = append(x.zones, name)
		}
	}
	slices.Sort(x.zones)
	zones, names := xxhash.New(), xxhash.New()
	for _, name := range x.zones {
		_, _ = zones.WriteString(name + "\n")
		for _, m := range x.byZone[name].present {
			_, _ = names.WriteString(m.Name + "\n")
		}
	}
	x.zoneNamesHash = uint32(zones.Sum64())
	x.hostNamesHash = uint32(names.Sum64())
}

// compareRank orders the hosts of a zone by rendezvous hash. Hosts that are
// draining, and then those with incarnation zero, come last.
func compareRank(a, b *member) int {
	return cmp.Or(
		compareBool(a.Incarnation == 0, b.Incarnation == 0),
		compareBool(a.Draining, b.Draining),
		cmp.Compare(a.rendezvousHash, b.rendezvousHash),
		cmp.Compare(a.Name, b.Name),
	)
}

func rendezvousHash(host Host) uint64 {
	return xxhash.Sum64String(host.Zone + "\n" + host.Name)
}

// contentHash returns a hash of the record. All hosts compare these hashes, so
// that they must compute them alike.
func (r MemberRecord) contentHash() uint64 {
	encoded := make([]byte, 0, 128)
	encoded = append(encoded, r.Name...)
	encoded = append(encoded, '\n')
	encoded = append(encoded, r.Zone...)
	encoded = append(encoded, '\n')
	encoded = r.Address.AppendTo(encoded)
	encoded = binary.BigEndian.AppendUint64(encoded, r.Incarnation)
	encoded = binary.BigEndian.AppendUint64(encoded, r.Revision)
	encoded = append(encoded, byte(r.State))
	if r.Draining {
		encoded = append(encoded, 'l')
	}
	return xxhash.Sum64(encoded)
}

// zoneHashes returns the hash of each zone's records.
func (x *index) zoneHashes() []ZoneHash {
	hashes := make([]ZoneHash, 0, len(x.zones))
	for _, zone := range x.zones {
		hashes = append(hashes, ZoneHash{
			Zone: zone,
			Hash: x.byZone[zone].hash,
		})
	}
	return hashes
}

// recordsOfDifferingZones returns the records of all zones whose hash differs
// from the other host's. Removed hosts are included.
func (x *index) recordsOfDifferingZones(theirs []ZoneHash) []MemberRecord {
	same := make(map[string]bool)
	for _, zone := range theirs {
		own := x.byZone[zone.Zone]
		same[zone.Zone] = own != nil && own.hash == zone.Hash
	}
	var records []MemberRecord
	for _, m := range x.all {
		if !same[m.Zone] {
			records = append(records, m.MemberRecord)
		}
	}
	return records
}
