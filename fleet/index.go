package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// index is what is derived from the records. A change marks its zone, and only
// marked zones are derived anew.
type index struct {
	// all has every member in order of name.
	all []*member
	// zones are the names of the zones in order, without those whose hosts are
	// all gone.
	zones  []string
	byZone map[string]*zoneIndex
	// total is the hash of all records.
	total uint64
	// zonesHash and namesHash identify the zones and all members' names.
	zonesHash uint32
	namesHash uint32
	// changed is set if any zone is marked, renamed if names came or went.
	changed bool
	renamed bool
}

// zoneIndex is what is derived from the records of one zone.
type zoneIndex struct {
	members []*member
	// roster has the members that are not gone, by name.
	roster []*member
	// ranked has those that can be polled, in an order that all hosts with the
	// same records share.
	ranked []*member
	// hash is that of the records, rosterHash that of the roster's names.
	hash       uint64
	rosterHash uint32
	changed    bool
}

// zoneOf returns the index of a zone, empty if it has no members.
func (x *index) zoneOf(name string) *zoneIndex {
	zone := x.byZone[name]
	if zone == nil {
		zone = &zoneIndex{}
		x.byZone[name] = zone
	}
	return zone
}

// mark notes that a member's record changed.
func (x *index) mark(m *member) {
	m.rank = rendezvous(m.Host)
	m.hash = m.MemberRecord.hash()
	x.zoneOf(m.Zone).changed = true
	x.changed = true
}

// insert adds a member.
func (x *index) insert(m *member) {
	x.all = insertByName(x.all, m)
	zone := x.zoneOf(m.Zone)
	zone.members = insertByName(zone.members, m)
	x.renamed = true
	x.mark(m)
}

// remove takes a member out.
func (x *index) remove(m *member) {
	isIt := func(other *member) bool { return other == m }
	x.all = slices.DeleteFunc(x.all, isIt)
	zone := x.zoneOf(m.Zone)
	zone.members = slices.DeleteFunc(zone.members, isIt)
	x.renamed = true
	x.mark(m)
}

func insertByName(members []*member, m *member) []*member {
	at, _ := slices.BinarySearchFunc(members, m.Name, func(a *member, name string) int {
		return cmp.Compare(a.Name, name)
	})
	return slices.Insert(members, at, m)
}

// indexed returns the index, brought up to date.
func (n *Node) indexed() *index {
	x := &n.index
	if !x.changed {
		return x
	}
	for _, zone := range x.byZone {
		if zone.changed {
			zone.derive()
		}
	}
	if x.renamed {
		x.deriveNames()
	}
	x.total = 0
	for _, zone := range x.byZone {
		x.total += zone.hash
	}
	x.changed = false
	x.renamed = false
	return x
}

// brief is the hash of all records as messages carry it.
func (x *index) brief() uint32 { return uint32(x.total) }

// derive computes what depends on the zone's records.
func (z *zoneIndex) derive() {
	z.changed = false
	z.hash = 0
	z.roster = z.roster[:0:0]
	z.ranked = z.ranked[:0:0]
	names := xxhash.New()
	for _, m := range z.members {
		if m.State == Removed {
			continue
		}
		z.roster = append(z.roster, m)
		z.hash += m.hash
		_, _ = names.WriteString(m.Name + "\n")
		if m.State == Alive {
			z.ranked = append(z.ranked, m)
		}
	}
	z.rosterHash = uint32(names.Sum64())
	slices.SortFunc(z.ranked, compareRank)
}

// deriveNames computes what depends on which hosts and zones there are.
func (x *index) deriveNames() {
	x.zones = nil
	for name, zone := range x.byZone {
		if len(zone.roster) > 0 {
			x.zones = append(x.zones, name)
		}
	}
	slices.Sort(x.zones)
	zones, names := xxhash.New(), xxhash.New()
	for _, name := range x.zones {
		_, _ = zones.WriteString(name + "\n")
		for _, m := range x.byZone[name].roster {
			_, _ = names.WriteString(m.Name + "\n")
		}
	}
	x.zonesHash = uint32(zones.Sum64())
	x.namesHash = uint32(names.Sum64())
}

// compareRank orders the hosts of a zone by rendezvous hash. Hosts that are
// leaving or were never heard of come last.
func compareRank(a, b *member) int {
	return cmp.Or(
		compareBool(a.Incarnation == 0, b.Incarnation == 0),
		compareBool(a.Draining, b.Draining),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.Name, b.Name),
	)
}

func rendezvous(host Host) uint64 {
	return xxhash.Sum64String(host.Zone + "\n" + host.Name)
}

// hash identifies the record's content.
func (r MemberRecord) hash() uint64 {
	text := make([]byte, 0, 128)
	text = append(text, r.Name...)
	text = append(text, '\n')
	text = append(text, r.Zone...)
	text = append(text, '\n')
	text = r.Address.AppendTo(text)
	text = binary.BigEndian.AppendUint64(text, r.Incarnation)
	text = binary.BigEndian.AppendUint64(text, r.Revision)
	text = append(text, byte(r.State))
	if r.Draining {
		text = append(text, 'l')
	}
	return xxhash.Sum64(text)
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

// recordsExcept returns the records of the zones whose hash differs, gone
// hosts included.
func (x *index) recordsExcept(known []ZoneHash) []MemberRecord {
	same := make(map[string]bool)
	for _, zone := range known {
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
