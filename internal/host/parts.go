package host

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/quota"
)

// RatePart is this host's part of the teams' rates. The zero value has none. It is safe for concurrent use.
type RatePart struct {
	// Clock returns the current time; [time.Now] if nil.
	Clock func() time.Time

	mu    sync.Mutex
	claim quota.PartClaim
	// isKnown is true once this process has resumed the part of an earlier one, or written a record
	// of its own.
	isKnown bool
	// isResumed is true if an earlier process of this host had the part, so that the others
	// count this host already.
	isResumed bool
	// version is that of the record that states the part, zero if that is not known.
	version objectstore.Version
	// isRecovered is true while the part is one that other hosts remember. isStored is true once the store has answered this
	// process about its record.
	isRecovered, isStored bool
	// lease is for how long this host owns what its record states.
	lease quota.Lease
}

// Usable returns the part that this host may use, and whether it is the one that it should have. There is none without a lease.
func (p *RatePart) Usable(target quota.TargetPart) (part int, isSettled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lease.IsValid(p.now()) {
		return 0, false
	}
	return p.claim.Usable(target), p.claim.IsSettled(target)
}

// Statement returns the part that this host may use with the version of its record; zero if there is none.
func (p *RatePart) Statement() quota.PartStatement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == 0 || p.claim.Granted() == 0 {
		return quota.PartStatement{}
	}
	return quota.PartStatement{
		Part:    p.claim.Granted(),
		Version: uint64(p.version),
	}
}

func (p *RatePart) now() time.Time {
	if p.Clock == nil {
		return time.Now()
	}
	return p.Clock()
}

// granted returns the part that this host may use at most.
func (p *RatePart) granted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claim.Granted()
}

// NeedsRecovery reports whether this process has no part that its record is known to state, or no lease of it, and the store has not
// answered.
func (p *RatePart) NeedsRecovery() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isStored && (p.isRecovered || p.claim.Granted() == 0 || !p.lease.IsValid(p.now()))
}

// Recover sets the part that other hosts remember, or notes that they still do, in response to questions that were sent at a time. It
// returns true if the part is a new one, and does nothing if this host knows a later record.
func (p *RatePart) Recover(remembered quota.PartStatement, sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.isStored || uint64(p.version) > remembered.Version:
		return false
	case p.claim.Granted() > 0 && uint64(p.version) == remembered.Version:
		p.isRecovered = true
		p.lease.Confirm(sentAt)
		return false
	}
	p.lease.Confirm(sentAt)
	p.claim = quota.PartClaim{}
	p.claim.Resume(remembered.Part, nil)
	p.version = objectstore.Version(remembered.Version)
	p.isKnown, p.isResumed, p.isRecovered = true, true, true
	return true
}

// Settle notes that the store has answered this process. If it has no record of this host, others may use what was recovered.
func (p *RatePart) Settle(hasRecord bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRecovered && !hasRecord {
		p.claim = quota.PartClaim{}
	}
	p.isRecovered, p.isStored = false, true
}

// LimitRecovered returns the part that a new record may state, given what the one that it replaces states.
func (p *RatePart) LimitRecovered(part, before int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRecovered {
		return min(part, before)
	}
	return part
}

// SetStated sets the part that this host's record of a version states.
func (p *RatePart) SetStated(part int, version objectstore.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isKnown = true
	p.version = version
	p.claim.SetStated(part)
}

// IsOlder reports whether a record is older than the one that states the part.
func (p *RatePart) IsOlder(version objectstore.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return version < p.version
}

// SetKnown notes that this process writes a record of its own.
func (p *RatePart) SetKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isKnown = true
}

// IsOfThisProcess reports whether the stated part is not only that of an earlier process.
func (p *RatePart) IsOfThisProcess() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isKnown
}

// updateDivisionSoon makes the host update its part before the next interval.
func (h *host) updateDivisionSoon() {
	select {
	case h.divisionDue <- struct{}{}:
	default:
	}
}

// updateDivision sets among which hosts the teams' rates are divided: all that may be running,
// and in a large fleet the holders among them.
func (h *host) updateDivision() {
	members := h.members()
	division := quota.Division{
		Self:      h.settings().Host,
		IsRestart: !h.settings().FirstStart,
		Joined:    make(map[string]uint64),
	}
	for _, m := range members {
		division.Members = append(division.Members, m.Name)
		division.Joined[m.Name] = m.Joined
	}
	h.partStatements.Keep(division.Members)
	division.Holders = h.holders(members)
	states := h.memberStates(members, division.Holders)
	target := h.targetPart(states)
	hash := division.Hash()
	h.extendLease(members, hash)
	part, isSettled := h.part.Usable(target)
	division.Part = float64(part) / quota.WholePart
	division.LeaseConfirmedAt = h.part.LeaseConfirmedAt()
	division.IsAgreed = isSettled && h.isCountedBy(states, hash)
	h.limiter.SetDivision(division)
	if part != h.lastPartLog.part {
		h.checkRecordSoon()
	}
	h.logPart(part, target, states)
}

// holders returns the names of the members that are to have a part of the teams' rates. They follow
// from the members alone, so that hosts that know the same members agree. In a large fleet no
// host is selected that has failed.
func (h *host) holders(members []membership.HostRecord) []string {
	var names []string
	byRegion := make(map[string][]string)
	for _, m := range members {
		names = append(names, m.Name)
		if !h.hasFailed(m.Name) {
			byRegion[m.Region] = append(byRegion[m.Region], m.Name)
		}
	}
	if len(names) > membership.MaxDirectHosts {
		return quota.SelectHolders(byRegion)
	}
	return names
}

// hasFailed reports whether a host has a record, which does not say that it has stopped, but was not
// heard from for long.
func (h *host) hasFailed(name string) bool {
	records := h.records.Load()
	if records == nil || name == h.settings().Host {
		return false
	}
	known, isKnown := records.known[name]
	return isKnown && !known.record.Stopped && h.memberState(name, known) == quota.MemberSilent
}

// memberStates returns what this host knows of the members' parts of the teams' rates.
func (h *host) memberStates(members []membership.HostRecord, holders []string) []quota.Member {
	records := h.records.Load()
	if records == nil {
		records = &hostRecords{}
	}
	var states []quota.Member
	for _, m := range members {
		known := records.known[m.Name]
		state := quota.Member{
			Name:     m.Name,
			State:    h.memberState(m.Name, known),
			Stated:   known.record.statedPart(m.Name, holders),
			IsHolder: slices.Contains(holders, m.Name),
		}
		if m.Name == h.settings().Host {
			state.State, state.Stated = quota.MemberActive, h.part.Stated()
		}
		if known.record.isOfEarlierBuild() {
			// It does not follow the same rules, and uses the same part whatever the others do.
			state.State = quota.MemberSilent
		}
		states = append(states, state)
	}
	return states
}

// memberState returns whether another host divides the rates, given its record.
func (h *host) memberState(name string, known knownRecord) quota.MemberState {
	peer, isHeard := h.roster.RecentPeer(name)
	switch {
	case known.record.Stopped, isHeard && peer.Draining:
		return quota.MemberSilent
	case isHeard:
		return quota.MemberActive
	case time.Since(known.since) > membership.RetentionTime:
		return quota.MemberSilent
	}
	return quota.MemberUnknown
}

// Stated returns the part that this host's record states.
func (p *RatePart) Stated() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claim.Stated()
}

// targetPart returns the part that this host should have. Hosts of earlier builds count on equal
// parts, so none has more while there are some.
func (h *host) targetPart(states []quota.Member) quota.TargetPart {
	target := quota.NewTargetPart(h.settings().Host, states)
	records := h.records.Load()
	if records == nil || !records.hasEarlierBuild() {
		return target
	}
	holders := 0
	for _, m := range states {
		if m.IsHolder {
			holders++
		}
	}
	equal := quota.WholePart / max(1, holders)
	return quota.TargetPart{
		Low:  min(target.Low, equal),
		High: min(target.High, equal),
	}
}

// isCountedBy reports whether the members that are not silent count on the holders with this hash,
// and so know this host.
func (h *host) isCountedBy(states []quota.Member, hash uint64) bool {
	h.part.mu.Lock()
	isResumed := h.part.isResumed
	h.part.mu.Unlock()
	for _, m := range states {
		if m.Name == h.settings().Host || m.State == quota.MemberSilent {
			continue
		}
		peer, isHeard := h.roster.RecentPeer(m.Name)
		if isHeard && peer.Lends && peer.Holders != hash || !isHeard && !isResumed {
			return false
		}
	}
	return true
}

// partLog is what was last logged of this host's part of the teams' rates.
type partLog struct {
	part   int
	stated int
	target quota.TargetPart
}

// logPart logs this host's part of the teams' rates if it has changed, with what this host knows of
// the others that have one.
func (h *host) logPart(part int, target quota.TargetPart, states []quota.Member) {
	current := partLog{
		part:   part,
		stated: h.part.Stated(),
		target: target,
	}
	if current == h.lastPartLog {
		return
	}
	h.lastPartLog = current
	var others []string
	for _, m := range states {
		if m.Name != h.settings().Host && (m.IsHolder || m.Stated > 0) {
			others = append(others, m.String())
		}
	}
	h.log.Write(observe.RatePartChanged, zap.Int("part", part), zap.Int("stated", current.stated),
		zap.Int("least", target.Low), zap.Int("most", target.High), zap.Strings("others", others))
}
