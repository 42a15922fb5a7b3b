package membership

import (
	"time"

	"trefoilline.example/trefoilline/quota"
)

// relayTimeout is how long the digests of a relay remain valid. It is longer than the time in
// which the hosts of a region notice that all their relays are gone, select others and hear
// from these, so that the other hosts do not seem to be gone meanwhile.
const relayTimeout = LivenessTimeout + 6*HeartbeatInterval

// relayView is what a relay last told this host.
type relayView struct {
	// region is that of the relay.
	region      string
	incarnation uint64
	sequence    uint64
	version     uint64
	receivedAt  time.Time
	// hosts holds the names of the hosts that the relay counts as live.
	hosts         map[string]struct{}
	regions       []RegionSummary
	storeVersions storeVersions
	roundTrip     time.Duration
}

// ReceiveDigest applies a digest. It returns false if the digest does not follow from the
// last one of its relay; the relay must send one that holds its whole list then. A digest that
// is older than the last one is ignored.
func (r *Roster) ReceiveDigest(d Digest) bool {
	if d.Relay.Name == r.Self || d.Relay.Name == "" {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	view, isKnown := r.relayViews[d.Relay.Name]
	isSameRun := isKnown && view.incarnation == d.Incarnation
	switch {
	case isSameRun && d.Sequence <= view.sequence:
		return true
	case d.Base != 0 && (!isSameRun || view.version != d.Base):
		return false
	}
	if d.Base == 0 || !isKnown {
		view = &relayView{
			hosts: make(map[string]struct{}),
		}
	}
	view.incarnation, view.sequence, view.version, view.receivedAt = d.Incarnation, d.Sequence, d.Version, now
	view.region, view.regions, view.roundTrip = d.Relay.Region, d.Regions, d.RoundTrip
	view.storeVersions = d.StoreVersions
	for _, state := range d.Hosts {
		r.applyState(view, state)
	}
	// A relay has the reports of its region itself, and gets those of the others from their
	// relays. What the other relay of its region sends is only what this host needs as an
	// owner.
	if !r.isRelay || d.Relay.Region != r.ownRegion {
		r.applyQuotas(view, d.Quotas)
	}
	for name := range view.hosts {
		if last, isHeard := r.received[name]; isHeard {
			last.heardAt = now
			if name == d.Relay.Name {
				last.directAt = now
			}
			r.received[name] = last
		}
	}
	if r.relayViews == nil {
		r.relayViews = make(map[string]*relayView)
		r.newestViews = make(map[string]time.Time)
	}
	r.newestViews[d.Relay.Region] = now
	r.relayViews[d.Relay.Name] = view
	return true
}

// applyState applies a change in a relay's list of live hosts.
func (r *Roster) applyState(view *relayView, state HostState) {
	if state.Name == r.Self || state.Name == "" {
		return
	}
	if state.Gone {
		delete(view.hosts, state.Name)
		return
	}
	view.hosts[state.Name] = struct{}{}
	last, isHeard := r.received[state.Name]
	if isHeard && last.heartbeat.Incarnation == state.Incarnation && last.heartbeat.Sequence >= state.Sequence {
		return
	}
	if last.heartbeat.Incarnation != state.Incarnation {
		last = receivedHeartbeat{}
	}
	last.heartbeat.HostRecord = state.HostRecord
	last.heartbeat.Incarnation, last.heartbeat.Sequence = state.Incarnation, state.Sequence
	last.heartbeat.Ready, last.heartbeat.Draining = state.Ready, state.Draining
	last.heartbeat.CutOff, last.heartbeat.Holders = state.CutOff, state.Holders
	r.store(state.Name, last)
}

// applyQuotas replaces the quota reports of the hosts on a relay's list. A host without a
// report owns no part of a rate that concerns this host any more. Hosts that this host hears
// itself, and hosts that are no longer on the list, keep their last reports.
func (r *Roster) applyQuotas(view *relayView, quotas []HostQuota) {
	reports := make(map[string]HostQuota, len(quotas))
	for _, q := range quotas {
		reports[q.Name] = q
	}
	now := r.now()
	for name := range view.hosts {
		last, isHeard := r.received[name]
		if !isHeard || r.isDirect(last, now) {
			continue
		}
		last.heartbeat.TeamDemand, last.heartbeat.TeamShares = reports[name].Demand, reports[name].Shares
		r.store(name, last)
	}
}

// Regions returns the newest summary of each region that relays reported. It leaves out
// summaries that are no longer valid.
func (r *Roster) Regions() map[string]RegionSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestSummaries(func(*relayView, RegionSummary) bool { return true })
}

// newestSummaries returns the newest of the valid summaries that are included, by region.
func (r *Roster) newestSummaries(include func(*relayView, RegionSummary) bool) map[string]RegionSummary {
	now := r.now()
	summaries := make(map[string]RegionSummary)
	newest := make(map[string]time.Time)
	for _, view := range r.relayViews {
		if !r.isValid(view, now) {
			continue
		}
		for _, summary := range view.regions {
			if include(view, summary) && view.receivedAt.After(newest[summary.Region]) {
				summaries[summary.Region], newest[summary.Region] = summary, view.receivedAt
			}
		}
	}
	return summaries
}

// firstHand returns what a relay may pass on: the hosts that this host hears itself or that a
// relay of their own region reports, and the summaries of other regions by their own relays.
// Relays of one region report to each other too; if they passed on what they have from each
// other, a host that is gone would stay in their lists.
func (r *Roster) firstHand(ownRegion string) ([]Heartbeat, map[string]RegionSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	hosts := r.selectReceived(func(last receivedHeartbeat) bool {
		if r.isDirect(last, now) {
			return true
		}
		for relay, view := range r.relayViews {
			_, isListed := view.hosts[last.heartbeat.Name]
			isSource := view.region == last.heartbeat.Region && view.region != ownRegion && relay != last.heartbeat.Name
			if isListed && isSource && r.isProof(view, last, now) {
				return true
			}
		}
		return false
	})
	summaries := r.newestSummaries(func(view *relayView, summary RegionSummary) bool {
		return view.region == summary.Region && view.region != ownRegion
	})
	return hosts, summaries
}

// isLive reports whether a host's own heartbeats arrive, or a relay counts it as live.
func (r *Roster) isLive(name string, now time.Time) bool {
	last, isHeard := r.received[name]
	if !isHeard {
		return false
	}
	if r.isDirect(last, now) {
		return true
	}
	for relay, view := range r.relayViews {
		if _, isListed := view.hosts[name]; isListed && relay != name && r.isProof(view, last, now) {
			return true
		}
	}
	return false
}

// isProof reports whether a relay's list still shows that a host on it is live. If the host
// sent messages itself, the list must be from a time when these were missed already. Otherwise
// two relays that end together would each keep the other in its last list.
func (r *Roster) isProof(view *relayView, last receivedHeartbeat, now time.Time) bool {
	return r.isValid(view, now) && (last.directAt.IsZero() || view.receivedAt.Sub(last.directAt) > LivenessTimeout)
}

// isValid reports whether the list of a relay is recent, and not replaced by that of another
// relay of the same region.
func (r *Roster) isValid(view *relayView, now time.Time) bool {
	return now.Sub(view.receivedAt) <= relayTimeout && r.newestViews[view.region].Sub(view.receivedAt) <= LivenessTimeout
}

// isDirect reports whether the host's own heartbeats or digests arrive.
func (r *Roster) isDirect(last receivedHeartbeat, now time.Time) bool {
	return !last.directAt.IsZero() && now.Sub(last.directAt) <= LivenessTimeout
}

// sharedTeams returns the entries of the demand and the shares of a host that are about teams
// of which the receiver owns a part.
func sharedTeams(q HostQuota, receiver quota.Shares) HostQuota {
	shared := HostQuota{
		Name:   q.Name,
		Demand: make(quota.Demand),
		Shares: make(quota.Shares),
	}
	for team := range receiver {
		if demand, isKnown := q.Demand[team]; isKnown {
			shared.Demand[team] = demand
		}
		if share, isKnown := q.Shares[team]; isKnown {
			shared.Shares[team] = share
		}
	}
	return shared
}
