package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxDirectHosts is the largest number of hosts that all send heartbeats to each other.
// Larger fleets have relays.
const MaxDirectHosts = 16

// relaysPerRegion is the number of relays in each region. With two of them in different
// zones, the loss of a host or a zone leaves one.
const relaysPerRegion = 2

// relayPatience is how long a host that is known by its record only may be selected as a
// relay. After that it is taken to be gone unless it is heard from.
const relayPatience = 3 * HeartbeatInterval

// probesPerRegion is how many silent hosts of each region a relay sends a digest to, so that
// parts of the fleet that lost each other find together again.
const probesPerRegion = 1

// SelectRelays returns the relays of a region among its hosts, by rendezvous hashing: the
// host with the highest score, and the highest one of another zone, or the second one if all
// are in the same zone.
func SelectRelays(region string, hosts []HostRecord) []HostRecord {
	score := func(h HostRecord) uint64 { return xxhash.Sum64String("relay\x00" + region + "\x00" + h.Name) }
	sorted := slices.DeleteFunc(slices.Clone(hosts), func(h HostRecord) bool { return h.Region != region })
	slices.SortFunc(sorted, func(a, b HostRecord) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	if len(sorted) <= relaysPerRegion {
		return sorted
	}
	second := slices.IndexFunc(sorted, func(h HostRecord) bool { return h.Zone != sorted[0].Zone })
	return []HostRecord{
		sorted[0],
		sorted[max(second, 1)],
	}
}

// Targets are the hosts to which a host sends messages.
type Targets struct {
	// HasRelays is true if the fleet is large enough for relays.
	HasRelays bool
	// IsRelay is true if the host is a relay of its region.
	IsRelay bool
	// Heartbeats are the hosts that get the host's heartbeat, Digests those that get a
	// digest.
	Heartbeats []HostRecord
	Digests    []HostRecord
}

// Targets returns the hosts to which this host sends messages, given its own record and
// whether it is draining.
func (r *Roster) Targets(own HostRecord, draining bool) Targets {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	known := r.knownHosts(now)
	r.ownRegion, r.hasRelays, r.isRelay = own.Region, len(known)+1 > MaxDirectHosts, false
	if !r.hasRelays {
		return Targets{
			Heartbeats: known,
		}
	}
	r.suspectSilentRelays(now)
	targets := Targets{
		HasRelays: true,
	}
	for _, h := range known {
		if !h.ReadsDigests {
			targets.Heartbeats = append(targets.Heartbeats, h)
		}
	}
	selected := r.relays(own.Region, own, draining, now)
	for _, relay := range selected {
		if relay.Name == own.Name {
			targets.IsRelay = true
			continue
		}
		targets.Heartbeats = append(targets.Heartbeats, relay)
	}
	if targets.IsRelay {
		for _, region := range otherRegions(known, own.Region) {
			selected = append(selected, r.relays(region, own, draining, now)...)
		}
		targets.Digests = r.digestTargets(own, known, selected, now)
	}
	r.isRelay = targets.IsRelay
	r.noteSelected(selected, now)
	return targets
}

// suspicionTime is for how long a host is not selected as a relay after it did not answer as
// one.
const suspicionTime = 10 * time.Second

// suspectSilentRelays suspects the selected relays that have sent nothing for [relayPatience].
// All relays exchange messages with those that select them, so their silence shows that they
// are gone sooner than the lists of other relays do.
func (r *Roster) suspectSilentRelays(now time.Time) {
	for name, selectedAt := range r.selectedAt {
		since := selectedAt
		if directAt := r.received[name].directAt; directAt.After(since) {
			since = directAt
		}
		if now.Sub(since) > relayPatience {
			if r.suspectedAt == nil {
				r.suspectedAt = make(map[string]time.Time)
			}
			r.suspectedAt[name] = now
		}
	}
}

// noteSelected stores since when the relays are selected.
func (r *Roster) noteSelected(relays []HostRecord, now time.Time) {
	before := r.selectedAt
	r.selectedAt = make(map[string]time.Time, len(relays))
	for _, relay := range relays {
		if relay.Name == r.Self {
			continue
		}
		since, wasSelected := before[relay.Name]
		if !wasSelected {
			since = now
		}
		r.selectedAt[relay.Name] = since
	}
}

// isSuspected reports whether the host did not answer as a relay a short time ago, and was not
// heard from since.
func (r *Roster) isSuspected(name string, now time.Time) bool {
	suspectedAt, isKnown := r.suspectedAt[name]
	return isKnown && now.Sub(suspectedAt) <= suspicionTime && !r.received[name].directAt.After(suspectedAt)
}

// otherRegions returns the regions of the hosts, except one.
func otherRegions(hosts []HostRecord, except string) []string {
	var regions []string
	for _, h := range hosts {
		if h.Region != except && !slices.Contains(regions, h.Region) {
			regions = append(regions, h.Region)
		}
	}
	return regions
}

// Relays returns the relays of a region, given this host's own record and whether it is
// draining.
func (r *Roster) Relays(region string, own HostRecord, draining bool) []HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relays(region, own, draining, r.now())
}

// NeedsEarlyDigest reports whether this host, a relay, must not wait for the end of the interval
// before it passes a heartbeat on that it is about to receive: the sender began to drain, or no longer
// reaches any backend server. Callers must no longer be sent there.
func (r *Roster) NeedsEarlyDigest(hb Heartbeat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.received[hb.Name].heartbeat
	return r.isRelay && (hb.Draining && !before.Draining || hb.CutOff && !before.CutOff)
}

// HintForHeartbeat returns what to tell a host that sent a heartbeat: the relays of its region,
// if this host was none of them at the last call of [Roster.Targets]. It returns nothing in a
// fleet without relays.
func (r *Roster) HintForHeartbeat(own HostRecord, draining bool, sender HostRecord) []HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !sender.ReadsDigests || !r.hasRelays || r.isRelay && sender.Region == own.Region {
		return nil
	}
	return r.relays(sender.Region, own, draining, r.now())
}

// HintForDigest returns what to tell a relay that sent a digest: the relays of its region as
// this host knows them, if the sender is none of them. It returns nothing in a fleet without
// relays.
func (r *Roster) HintForDigest(own HostRecord, draining bool, sender HostRecord) []HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasRelays {
		return nil
	}
	relays := r.relays(sender.Region, own, draining, r.now())
	if slices.ContainsFunc(relays, func(h HostRecord) bool { return h.Name == sender.Name }) {
		return nil
	}
	return relays
}

// AddRecords adds records that another host named. Those of hosts that are not live count as
// new again, so that they may be selected as relays.
func (r *Roster) AddRecords(records []HostRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, h := range records {
		if h.Name == r.Self || h.Name == "" || !h.PeerAddress.IsValid() || r.isLive(h.Name, now) {
			continue
		}
		if !slices.ContainsFunc(r.records, func(known HostRecord) bool { return known.Name == h.Name }) {
			r.records = append(r.records, h)
		}
		r.noteRecord(h.Name, now)
		delete(r.suspectedAt, h.Name)
	}
}

// noteRecord stores when the record of a host became known.
func (r *Roster) noteRecord(name string, now time.Time) {
	if r.recordedAt == nil {
		r.recordedAt = make(map[string]time.Time)
	}
	r.recordedAt[name] = now
}

// relays returns the relays of a region among the hosts that are live, or may be because
// their record became known a short time ago. If there is none but this host, it selects among
// those that were heard from within [RetentionTime].
func (r *Roster) relays(region string, own HostRecord, draining bool, now time.Time) []HostRecord {
	var live, recent []HostRecord
	for _, h := range r.knownHosts(now) {
		last := r.received[h.Name]
		if h.Region != region || !h.ReadsDigests || last.heartbeat.Draining || r.isSuspected(h.Name, now) {
			continue
		}
		switch {
		case r.isLive(h.Name, now), now.Sub(r.recordedAt[h.Name]) <= relayPatience:
			live = append(live, h)
		case now.Sub(last.heardAt) <= RetentionTime:
			recent = append(recent, h)
		}
	}
	if len(live) == 0 {
		live = recent
	}
	if own.Region == region && !draining {
		live = append(live, own)
	}
	relays := SelectRelays(region, live)
	if !slices.ContainsFunc(relays, func(h HostRecord) bool { return !r.isProven(h.Name, now) }) {
		return relays
	}
	// Two more are tried at the same time, so that it takes no longer to find a relay if
	// many hosts have ended at once.
	rest := slices.DeleteFunc(live, func(h HostRecord) bool { return slices.Contains(relays, h) })
	return append(relays, SelectRelays(region, rest)...)
}

// isProven reports whether a host is this one, or has sent a message within [relayPatience].
func (r *Roster) isProven(name string, now time.Time) bool {
	return name == r.Self || now.Sub(r.received[name].directAt) <= relayPatience
}

// digestTargets returns the hosts to which this host, a relay, sends digests: the hosts of its
// region, the selected relays of all regions, and a few silent hosts.
func (r *Roster) digestTargets(own HostRecord, known, selected []HostRecord, now time.Time) []HostRecord {
	targets := slices.DeleteFunc(slices.Clone(selected), func(h HostRecord) bool { return h.Name == own.Name })
	isTarget := func(candidate HostRecord) bool {
		return slices.ContainsFunc(targets, func(h HostRecord) bool { return h.Name == candidate.Name })
	}
	silent := make(map[string][]HostRecord)
	for _, h := range known {
		switch {
		case !h.ReadsDigests || isTarget(h):
		case !r.isLive(h.Name, now):
			silent[h.Region] = append(silent[h.Region], h)
		case h.Region == own.Region:
			targets = append(targets, h)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(silent)) {
		hosts := silent[region]
		for range min(probesPerRegion, len(hosts)) {
			if probe := hosts[r.pick(len(hosts))]; !isTarget(probe) {
				targets = append(targets, probe)
			}
		}
	}
	return targets
}

// pick returns a random number below n.
func (r *Roster) pick(n int) int {
	if r.Random == nil {
		return rand.IntN(n)
	}
	return r.Random.IntN(n)
}

// knownHosts returns the hosts that have a record, or that were heard from within
// [RetentionTime]. A host that reports another address than its record has is listed with
// both, because either may be the older one.
func (r *Roster) knownHosts(now time.Time) []HostRecord {
	known := slices.Clone(r.records)
	isListed := make(map[netip.AddrPort]struct{}, len(known))
	for _, h := range known {
		isListed[h.PeerAddress] = struct{}{}
	}
	for _, name := range slices.Sorted(maps.Keys(r.received)) {
		last := r.received[name]
		if _, isKnown := isListed[last.heartbeat.PeerAddress]; !isKnown && now.Sub(last.heardAt) <= RetentionTime {
			known = append(known, last.heartbeat.HostRecord)
		}
	}
	return known
}
