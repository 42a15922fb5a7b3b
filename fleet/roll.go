package fleet

import (
	"strconv"
	"time"
)

// EncodedAges is a list of ages in steps of [ageStep], each in [ageDigits] digits in
// base 36, rounded up; the highest value stands for "never".
type EncodedAges string

// HostOutageAges tells for each host of the sender's zone how long ago it was known to
// answer and not to reach the store.
type HostOutageAges struct {
	// Roster identifies the hosts that the ages are for, in order of name.
	HostNamesHash uint32      `json:"roster"`
	Ages          EncodedAges `json:"ages"`
}

// ZoneAges tells for each zone, in order of name, how long ago it was heard of
// and when all its hosts last were known to answer and not to reach the store.
type ZoneAges struct {
	// Zones and Names identify the zones and all hosts' names.
	ZoneNamesHash uint32      `json:"zones"`
	HostNamesHash uint32      `json:"names"`
	LastContact   EncodedAges `json:"heard"`
	// LastOutage is empty while no zone is known to be cut off.
	LastOutage EncodedAges `json:"cut-off,omitempty"`
}

const (
	ageDigits = 2
	ageBase   = 36
	ageStep   = 20 * time.Millisecond
	// ageNever is the highest number of steps that the digits hold.
	ageNever = ageBase*ageBase - 1
)

// add appends the age of a time.
func (a EncodedAges) add(at, now time.Duration) EncodedAges {
	steps := int64(ageNever)
	if !isNever(at) {
		steps = min(int64((now-at+ageStep-1)/ageStep), ageNever)
	}
	text := strconv.FormatInt(steps, ageBase)
	if len(text) < ageDigits {
		text = "0" + text
	}
	return a + EncodedAges(text)
}

// count returns how many ages there are.
func (a EncodedAges) count() int { return len(a) / ageDigits }

// since returns the time that the age at an index stands for, counted from a
// base.
func (a EncodedAges) since(base time.Duration, i int) time.Duration {
	steps, err := strconv.ParseInt(string(a[ageDigits*i:ageDigits*(i+1)]), ageBase, 64)
	if err != nil || steps < 0 || steps >= ageNever {
		return never
	}
	return base - time.Duration(steps)*ageStep
}

func (n *Node) zone(name string) *zoneView {
	zone := n.zones[name]
	if zone == nil {
		zone = &zoneView{
			heard:  never,
			cutOff: never,
		}
		n.zones[name] = zone
	}
	return zone
}

// ownCutOff returns a time after which this host answered and did not reach
// the store. A reader knows by trying; any other host doesn't reach it unless
// it was answered of late.
func (n *Node) ownCutOff(now time.Duration) time.Duration {
	at := now
	for _, f := range n.feeds {
		if !f.bounded {
			continue
		}
		reader, failing := n.isReader(), f.failed > f.answered
		if reader && failing {
			at = min(at, f.failed)
			continue
		}
		if reader || !failing && now-f.answered <= n.settings.MaxConfirmationAge {
			return never
		}
	}
	return at
}

// callRoll brings up to date what is known of this host's zone as a whole.
func (n *Node) callRoll(now time.Duration) {
	n.self().cutOff = n.ownCutOff(now)
	all := now
	for _, m := range n.indexed().zoneOf(n.Self.Zone).roster {
		all = min(all, m.cutOff)
	}
	zone := n.zone(n.Self.Zone)
	zone.heard = now
	zone.cutOff = max(zone.cutOff, all)
}

// roll writes what is known of the zone's hosts.
func (n *Node) roll(now time.Duration) *HostOutageAges {
	n.self().cutOff = n.ownCutOff(now)
	x := n.indexed()
	var ages EncodedAges
	for _, m := range x.zoneOf(n.Self.Zone).roster {
		ages = ages.add(m.cutOff, now)
	}
	return &HostOutageAges{
		HostNamesHash: x.zoneOf(n.Self.Zone).rosterHash,
		Ages:          ages,
	}
}

// mergeRoll takes in what a member knows of the zone's hosts, as ages before
// the base.
func (n *Node) mergeRoll(roll *HostOutageAges, base time.Duration) {
	x := n.indexed()
	members := x.zoneOf(n.Self.Zone).roster
	if roll == nil || roll.HostNamesHash != x.zoneOf(n.Self.Zone).rosterHash || roll.Ages.count() != len(members) {
		return
	}
	for i, m := range members {
		if m.Name != n.Self.Name {
			m.cutOff = max(m.cutOff, roll.Ages.since(base, i))
		}
	}
}

// zoneAges writes what is known of all zones.
func (n *Node) zoneAges(now time.Duration) *ZoneAges {
	n.callRoll(now)
	x := n.indexed()
	ages := &ZoneAges{
		ZoneNamesHash: x.zonesHash,
		HostNamesHash: x.namesHash,
	}
	known := false
	for _, name := range x.zones {
		zone := n.zone(name)
		ages.LastContact = ages.LastContact.add(zone.heard, now)
		ages.LastOutage = ages.LastOutage.add(zone.cutOff, now)
		known = known || !isNever(zone.cutOff)
	}
	if !known {
		ages.LastOutage = ""
	}
	return ages
}

// mergeZones takes in what a member knows of all zones, as ages before the
// base. That a whole zone is cut off counts only among hosts that agree on who
// belongs to the fleet.
func (n *Node) mergeZones(ages *ZoneAges, base time.Duration) {
	x := n.indexed()
	if ages == nil || ages.ZoneNamesHash != x.zonesHash || ages.LastContact.count() != len(x.zones) {
		return
	}
	agreed := ages.HostNamesHash == x.namesHash && ages.LastOutage.count() == len(x.zones)
	for i, name := range x.zones {
		zone := n.zone(name)
		zone.heard = max(zone.heard, ages.LastContact.since(base, i))
		if agreed {
			zone.cutOff = max(zone.cutOff, ages.LastOutage.since(base, i))
		}
	}
}
