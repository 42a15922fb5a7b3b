package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Publisher builds the digests of a relay. The zero value is ready for use. It is safe for
// concurrent use and must not be copied.
type Publisher struct {
	mu       sync.Mutex
	sequence uint64
	own      Heartbeat
	// region is the list for the relays of other regions, fleet the one for the hosts of
	// this region.
	region hostList
	fleet  hostList
	// acknowledged holds the version of its list that each target has, by name.
	acknowledged map[string]uint64
	// reports are the last heartbeats of the live hosts, by name, without this host's.
	reports   map[string]Heartbeat
	quotas    []HostQuota
	summaries []RegionSummary
	roundTrip time.Duration
	// regionVersions and fleetVersions are those of [Roster.newestStoreVersions].
	regionVersions storeVersions
	fleetVersions  storeVersions
}

// hostList is a list of live hosts with versions, so that a target gets only what changed
// since the version that it has.
type hostList struct {
	version uint64
	entries map[string]versionedState
	// oldestChange is the version from which on all changes are known.
	oldestChange uint64
}

type versionedState struct {
	state     HostState
	version   uint64
	changedAt time.Time
}

// Update takes the state of the fleet that the next digests tell: this host's own heartbeat,
// and what the roster knows of the other hosts.
func (p *Publisher) Update(own Heartbeat, r *Roster) {
	live, summaries := r.firstHand(own.Region)
	roundTrip := r.RoundTripToNearestRegion(own.Region)
	regionVersions, fleetVersions := r.newestStoreVersions(own)
	now := r.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own, p.roundTrip = own, roundTrip
	p.regionVersions, p.fleetVersions = regionVersions, fleetVersions
	p.quotas = p.quotas[:0]
	p.reports = make(map[string]Heartbeat, len(live))
	regionHosts, fleetHosts := []HostState{stateOf(own)}, []HostState{stateOf(own)}
	measured := []Heartbeat{own}
	p.addQuota(own)
	for _, hb := range live {
		p.reports[hb.Name] = hb
		p.addQuota(hb)
		fleetHosts = append(fleetHosts, stateOf(hb))
		if hb.Region == own.Region {
			regionHosts = append(regionHosts, stateOf(hb))
			measured = append(measured, hb)
		}
	}
	p.region.update(regionHosts, now)
	p.fleet.update(fleetHosts, now)
	summaries[own.Region] = Summarize(own.Region, measured)
	p.summaries = p.summaries[:0]
	for _, summary := range summaries {
		p.summaries = append(p.summaries, summary)
	}
}

func (p *Publisher) addQuota(hb Heartbeat) {
	if len(hb.TeamShares) > 0 {
		p.quotas = append(p.quotas, HostQuota{
			Name:   hb.Name,
			Demand: hb.TeamDemand,
			Shares: hb.TeamShares,
		})
	}
}

func stateOf(hb Heartbeat) HostState {
	return HostState{
		HostRecord:  hb.HostRecord,
		Incarnation: hb.Incarnation,
		Sequence:    hb.Sequence,
		Ready:       hb.Ready,
		Draining:    hb.Draining,
		CutOff:      hb.CutOff,
		Holders:     hb.Holders,
	}
}

// DigestFor returns the next digest for a host.
func (p *Publisher) DigestFor(target HostRecord) Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	digest := Digest{
		Relay:          p.own.HostRecord,
		Incarnation:    p.own.Incarnation,
		Sequence:       p.sequence,
		StoreVersions:  p.regionVersions,
		CrashReports:   p.own.CrashReports,
		ServerLimits:   p.own.ServerLimits,
		LeavingServers: p.own.LeavingServers,
		RoundTrip:      p.roundTrip,
	}
	list := &p.region
	if target.Region == p.own.Region {
		list = &p.fleet
		digest.StoreVersions = p.fleetVersions
	}
	digest.Base, digest.Version = p.acknowledged[target.Name], list.version
	if digest.Base < list.oldestChange {
		digest.Base = 0
	}
	digest.Hosts = list.changesSince(digest.Base)
	digest.Quotas = p.quotasFor(target)
	for _, summary := range p.summaries {
		if target.Region == p.own.Region || summary.Region == p.own.Region {
			digest.Regions = append(digest.Regions, summary)
		}
	}
	return digest
}

// quotasFor returns the quota reports that a target needs: a host of this region those of
// teams of which it owns a part, a relay of another region all those of this region.
func (p *Publisher) quotasFor(target HostRecord) []HostQuota {
	var quotas []HostQuota
	for _, q := range p.quotas {
		isOwnRegion := q.Name == p.own.Name || p.reports[q.Name].Region == p.own.Region
		switch {
		case target.Region != p.own.Region && isOwnRegion:
			quotas = append(quotas, q)
		case target.Region == p.own.Region && q.Name != target.Name:
			if shared := sharedTeams(q, p.reports[target.Name].TeamShares); len(shared.Shares) > 0 {
				quotas = append(quotas, shared)
			}
		}
	}
	return quotas
}

// Acknowledge records that a host has applied a digest.
func (p *Publisher) Acknowledge(target HostRecord, digest Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.acknowledged == nil {
		p.acknowledged = make(map[string]uint64)
	}
	p.acknowledged[target.Name] = digest.Version
}

// Forget makes the next digest for a host hold the whole list, since the host has not applied
// the last one.
func (p *Publisher) Forget(target HostRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.acknowledged, target.Name)
}

// update replaces the live hosts of the list.
func (l *hostList) update(hosts []HostState, now time.Time) {
	if l.entries == nil {
		l.entries = make(map[string]versionedState)
	}
	isLive := make(map[string]struct{}, len(hosts))
	for _, state := range hosts {
		isLive[state.Name] = struct{}{}
		if known, isKnown := l.entries[state.Name]; !isKnown || !known.state.isSameExceptSequence(state) {
			l.set(state, now)
		}
	}
	for name, entry := range l.entries {
		_, isListed := isLive[name]
		switch {
		case isListed:
		case !entry.state.Gone:
			l.set(HostState{
				HostRecord: HostRecord{
					Name: name,
				},
				Gone: true,
			}, now)
		case now.Sub(entry.changedAt) > RetentionTime:
			delete(l.entries, name)
			l.oldestChange = max(l.oldestChange, entry.version)
		}
	}
}

func (l *hostList) set(state HostState, now time.Time) {
	l.version++
	l.entries[state.Name] = versionedState{
		state:     state,
		version:   l.version,
		changedAt: now,
	}
}

// changesSince returns the entries that changed after a version, sorted by name; if that is
// zero, all live hosts.
func (l *hostList) changesSince(base uint64) []HostState {
	var changes []HostState
	for _, entry := range l.entries {
		if entry.version > base && (base > 0 || !entry.state.Gone) {
			changes = append(changes, entry.state)
		}
	}
	slices.SortFunc(changes, func(a, b HostState) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}
