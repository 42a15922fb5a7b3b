package fleet

import (
	"strconv"
	"time"
)

// EncodedAges is a list of ages in units of 20 ms, rounded up, with two digits
// in base 36 each. The highest number means never, as do ages from 25.9 s.
type EncodedAges string

// HostOutageAges has, for each host of the sender's zone, the time since it was
// last known to run without reaching the store.
type HostOutageAges struct {
	// HostNamesHash identifies the hosts that Ages is for, in order of name.
	HostNamesHash uint32      `json:"roster"`
	Ages          EncodedAges `json:"ages"`
}

// ZoneAges has, for each zone in order of name, the time since one of its hosts
// last sent a message, and the time since all its hosts were last known to run
// without reaching the store.
type ZoneAges struct {
	// ZoneNamesHash and HostNamesHash identify the names of the zones and of all
	// hosts.
	ZoneNamesHash uint32      `json:"zones"`
	HostNamesHash uint32      `json:"names"`
	LastContact   EncodedAges `json:"heard"`
	// LastOutage is empty if no zone is known to have had such an outage.
	LastOutage EncodedAges `json:"cut-off,omitempty"`
}

const (
	ageDigits = 2
	ageBase   = 36
	ageStep   = 20 * time.Millisecond
	// ageNever is the highest number that the digits can hold.
	ageNever = ageBase*ageBase - 1
)

// appendAge appends the time from at to now.
func (a EncodedAges) appendAge(at, now time.Duration) EncodedAges {
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

// count returns the number of ages.
func (a EncodedAges) count() int { return len(a) / ageDigits }

// timeAt returns the time that lies the age at index i before the base.
func (a EncodedAges) timeAt(base time.Duration, i int) time.Duration {
	steps, err := strconv.ParseInt(string(a[ageDigits*i:ageDigits*(i+1)]), ageBase, 64)
	if err != nil || steps < 0 || steps >= ageNever {
		return never
	}
	return base - time.Duration(steps)*ageStep
}

func (n *Node) zone(name string) *zoneState {
	zone := n.zones[name]
	if zone == nil {
		zone = &zoneState{
			lastContact: never,
			lastOutage:  never,
		}
		n.zones[name] = zone
	}
	return zone
}

// ownLastOutage returns a lower bound of the time at which this host last ran
// without reaching the store, or never if it may reach it. Only feeds with a
// head key are considered. A store reader does not reach the store if its last
// call failed. Any other host counts as unable to reach the store if its last
// call failed or its last response is older than MaxConfirmationAge.
func (n *Node) ownLastOutage(now time.Duration) time.Duration {
	at := now
	for _, f := range n.feeds {
		if !f.hasHeadKey {
			continue
		}
		reader, failing := n.isStoreReader(), f.lastFailure > f.lastResponse
		if reader && failing {
			at = min(at, f.lastFailure)
			continue
		}
		if reader || !failing && now-f.lastResponse <= n.settings.MaxConfirmationAge {
			return never
		}
	}
	return at
}

// updateOwnZone updates what is known of this host's zone as a whole.
func (n *Node) updateOwnZone(now time.Duration) {
	n.self().lastOutage = n.ownLastOutage(now)
	oldest := now
	for _, m := range n.updatedIndex().zone(n.Self.Zone).present {
		oldest = min(oldest, m.lastOutage)
	}
	zone := n.zone(n.Self.Zone)
	zone.lastContact = now
	zone.lastOutage = max(zone.lastOutage, oldest)
}

// hostOutageAges returns what is known of the hosts of this host's zone.
func (n *Node) hostOutageAges(now time.Duration) *HostOutageAges {
	n.self().lastOutage = n.ownLastOutage(now)
	x := n.updatedIndex()
	var ages EncodedAges
	for _, m := range x.zone(n.Self.Zone).present {
		ages = ages.appendAge(m.lastOutage, now)
	}
	return &HostOutageAges{
		HostNamesHash: x.zone(n.Self.Zone).hostNamesHash,
		Ages:          ages,
	}
}

// mergeHostOutageAges merges what a member knows of the zone's hosts. The ages
// are subtracted from echoTime; see recordContact.
func (n *Node) mergeHostOutageAges(outages *HostOutageAges, echoTime time.Duration) {
	x := n.updatedIndex()
	members := x.zone(n.Self.Zone).present
	if outages == nil || outages.HostNamesHash != x.zone(n.Self.Zone).hostNamesHash || outages.Ages.count() != len(members) {
		return
	}
	for i, m := range members {
		if m.Name != n.Self.Name {
			m.lastOutage = max(m.lastOutage, outages.Ages.timeAt(echoTime, i))
		}
	}
}

// zoneAges returns what is known of all zones.
func (n *Node) zoneAges(now time.Duration) *ZoneAges {
	n.updateOwnZone(now)
	x := n.updatedIndex()
	ages := &ZoneAges{
		ZoneNamesHash: x.zoneNamesHash,
		HostNamesHash: x.hostNamesHash,
	}
	anyOutage := false
	for _, name := range x.zones {
		zone := n.zone(name)
		ages.LastContact = ages.LastContact.appendAge(zone.lastContact, now)
		ages.LastOutage = ages.LastOutage.appendAge(zone.lastOutage, now)
		anyOutage = anyOutage || !isNever(zone.lastOutage)
	}
	if !anyOutage {
		ages.LastOutage = ""
	}
	return ages
}

// mergeZoneAges merges what a member knows of all zones. The ages are
// subtracted from echoTime; see recordContact. Outages are merged only if the
// member knows the same hosts, because an outage of a zone is one of all its
// hosts.
func (n *Node) mergeZoneAges(ages *ZoneAges, echoTime time.Duration) {
	x := n.updatedIndex()
	if ages == nil || ages.ZoneNamesHash != x.zoneNamesHash || ages.LastContact.count() != len(x.zones) {
		return
	}
	sameHosts := ages.HostNamesHash == x.hostNamesHash && ages.LastOutage.count() == len(x.zones)
	for i, name := range x.zones {
		zone := n.zone(name)
		zone.lastContact = max(zone.lastContact, ages.LastContact.timeAt(echoTime, i))
		if sameHosts {
			zone.lastOutage = max(zone.lastOutage, ages.LastOutage.timeAt(echoTime, i))
		}
	}
}
