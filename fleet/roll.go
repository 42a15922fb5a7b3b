package fleet

import (
	"strconv"
	"strings"
	"time"
)

// Roll tells for each host of the sender's zone how long ago it was known to
// answer and not to reach the store.
type Roll struct {
	// Roster identifies the hosts that the ages are for, in order of name.
	Roster uint32 `json:"roster"`
	// Ages has [rollDigits] digits in base 36 for each host, in steps of
	// [rollStep]; the highest value stands for "never".
	Ages string `json:"ages"`
}

// ZoneAges tells for each zone, in order of name, how long ago it was heard of
// and when all its hosts last were known to answer and not to reach the store.
// Ages are in milliseconds, -1 for never.
type ZoneAges struct {
	// Zones and Names identify the zones and all hosts' names.
	Zones  uint32  `json:"zones"`
	Names  uint32  `json:"names"`
	Heard  []int64 `json:"heard"`
	CutOff []int64 `json:"cut-off"`
}

const (
	rollDigits = 2
	rollBase   = 36
	rollStep   = 20 * time.Millisecond
	// rollNever is the highest number of steps that the digits hold.
	rollNever = rollBase*rollBase - 1
)

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
		reader, failing := n.isReader(), f.failed > f.answered
		if reader && failing {
			at = min(at, f.failed)
			continue
		}
		if reader || !failing && now-f.answered <= n.settings.ConfirmBound {
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
func (n *Node) roll(now time.Duration) *Roll {
	n.self().cutOff = n.ownCutOff(now)
	x := n.indexed()
	var ages strings.Builder
	for _, m := range x.zoneOf(n.Self.Zone).roster {
		writeSteps(&ages, stepsOf(m.cutOff, now))
	}
	return &Roll{
		Roster: x.zoneOf(n.Self.Zone).rosterHash,
		Ages:   ages.String(),
	}
}

func stepsOf(at, now time.Duration) int64 {
	if isNever(at) {
		return rollNever
	}
	return min(int64((now-at+rollStep-1)/rollStep), rollNever)
}

func writeSteps(to *strings.Builder, steps int64) {
	text := strconv.FormatInt(steps, rollBase)
	if len(text) < rollDigits {
		to.WriteByte('0')
	}
	to.WriteString(text)
}

// mergeRoll takes in what a member knows of the zone's hosts, as ages before
// the base.
func (n *Node) mergeRoll(roll *Roll, base time.Duration) {
	x := n.indexed()
	members := x.zoneOf(n.Self.Zone).roster
	if roll == nil || roll.Roster != x.zoneOf(n.Self.Zone).rosterHash || len(roll.Ages) != rollDigits*len(members) {
		return
	}
	for i, m := range members {
		steps, err := strconv.ParseInt(roll.Ages[rollDigits*i:rollDigits*(i+1)], rollBase, 64)
		if err != nil || steps >= rollNever || m.Name == n.Self.Name {
			continue
		}
		m.cutOff = max(m.cutOff, base-time.Duration(steps)*rollStep)
	}
}

// zoneAges writes what is known of all zones.
func (n *Node) zoneAges(now time.Duration) *ZoneAges {
	n.callRoll(now)
	x := n.indexed()
	ages := &ZoneAges{
		Zones: x.zonesHash,
		Names: x.namesHash,
	}
	for _, name := range x.zones {
		zone := n.zone(name)
		ages.Heard = append(ages.Heard, ageOf(zone.heard, now))
		ages.CutOff = append(ages.CutOff, ageOf(zone.cutOff, now))
	}
	return ages
}

// mergeZones takes in what a member knows of all zones, as ages before the
// base. That a whole zone is cut off counts only among hosts that agree on who
// belongs to the fleet.
func (n *Node) mergeZones(ages *ZoneAges, base time.Duration) {
	x := n.indexed()
	if ages == nil || ages.Zones != x.zonesHash || len(ages.Heard) != len(x.zones) || len(ages.CutOff) != len(x.zones) {
		return
	}
	for i, name := range x.zones {
		zone := n.zone(name)
		zone.heard = max(zone.heard, since(base, ages.Heard[i]))
		if ages.Names == x.namesHash {
			zone.cutOff = max(zone.cutOff, since(base, ages.CutOff[i]))
		}
	}
}
