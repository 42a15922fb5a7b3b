package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Roster holds the records and the last heartbeats of the other hosts. The zero value is
// ready once Self is set. It is safe for concurrent use and must not be copied.
type Roster struct {
	// Self is the name of this host. Its records and heartbeats are ignored.
	Self string
	// Clock returns the current time; [time.Now] if nil.
	Clock func() time.Time
	// Random selects silent hosts to send digests to; nil means a random seed.
	Random *rand.Rand

	mu      sync.Mutex
	records []HostRecord
	// received holds the last heartbeat of each host, by name.
	received map[string]receivedHeartbeat
	// recordedAt is when the record of each host became known, by name.
	recordedAt map[string]time.Time
	// ownRegion is this host's region. hasRelays is true if the fleet has relays, and isRelay
	// if this host is one. All are as of the last call of Targets.
	ownRegion string
	hasRelays bool
	isRelay   bool
	// selectedAt is since when each relay is selected, and suspectedAt when a host did not
	// answer as a relay, by name.
	selectedAt  map[string]time.Time
	suspectedAt map[string]time.Time
	// relayViews holds what each relay last reported, by its name.
	relayViews map[string]*relayView
	// newestViews is when the last digest of a relay of each region came.
	newestViews map[string]time.Time
	// roundTrips holds the shortest round-trip time by peer address.
	roundTrips map[netip.AddrPort]time.Duration
}

type receivedHeartbeat struct {
	heartbeat Heartbeat
	// directAt is when the last heartbeat came from the host itself; zero if none did.
	directAt time.Time
	// heardAt is when the host was last heard from, directly or through a relay.
	heardAt time.Time
}

// SetRecords replaces the records by those of the store.
func (r *Roster) SetRecords(records []HostRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = slices.DeleteFunc(slices.Clone(records), func(h HostRecord) bool { return h.Name == r.Self })
	now := r.now()
	hasRecord := make(map[string]struct{}, len(r.records))
	for _, h := range r.records {
		hasRecord[h.Name] = struct{}{}
		if _, isKnown := r.recordedAt[h.Name]; !isKnown {
			r.noteRecord(h.Name, now)
		}
	}
	r.forgetOthers(hasRecord, now)
}

// forgetOthers drops what is kept of hosts that have no record and were not heard from within [RetentionTime].
func (r *Roster) forgetOthers(hasRecord map[string]struct{}, now time.Time) {
	isGone := func(name string) bool {
		_, isKept := hasRecord[name]
		return !isKept && now.Sub(r.received[name].heardAt) > RetentionTime
	}
	for _, times := range []map[string]time.Time{r.recordedAt, r.selectedAt, r.suspectedAt} {
		maps.DeleteFunc(times, func(name string, _ time.Time) bool { return isGone(name) })
	}
	maps.DeleteFunc(r.received, func(name string, _ receivedHeartbeat) bool { return isGone(name) })
}

// Receive stores a heartbeat of another host. It returns false and ignores the heartbeat if
// the same or a later one of its incarnation is known, or if it is this host's own or has
// no name.
func (r *Roster) Receive(hb Heartbeat) bool {
	if hb.Name == r.Self || hb.Name == "" {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, isKnown := r.received[hb.Name]
	if isKnown && last.heartbeat.Incarnation == hb.Incarnation && last.heartbeat.Sequence >= hb.Sequence {
		return false
	}
	if hb.Partial {
		hb.fillFrom(last.heartbeat)
	}
	now := r.now()
	r.store(hb.Name, receivedHeartbeat{
		heartbeat: hb,
		directAt:  now,
		heardAt:   now,
	})
	return true
}

func (r *Roster) store(name string, last receivedHeartbeat) {
	if r.received == nil {
		r.received = make(map[string]receivedHeartbeat)
	}
	r.received[name] = last
}

// LivePeers returns the last heartbeats of the live hosts, sorted by name. Of a host that is
// known through relays they hold its state and its quota report only.
func (r *Roster) LivePeers() []Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.selectReceived(func(last receivedHeartbeat) bool { return r.isLive(last.heartbeat.Name, now) })
}

// RecentPeers returns the last heartbeats of the hosts heard from within [RetentionTime], sorted
// by name. They may have failed, or have lost contact with this host.
func (r *Roster) RecentPeers() []Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.selectReceived(func(last receivedHeartbeat) bool { return now.Sub(last.heardAt) <= RetentionTime })
}

// RecentPeer returns the last heartbeat of a host if it was heard from within [RetentionTime].
func (r *Roster) RecentPeer(name string) (Heartbeat, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, isKnown := r.received[name]
	return last.heartbeat, isKnown && r.now().Sub(last.heardAt) <= RetentionTime
}

// LivePeer returns the last heartbeat of a host, and whether the host is live.
func (r *Roster) LivePeer(name string) (Heartbeat, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received[name].heartbeat, r.isLive(name, r.now())
}

// HasRelays reports whether the fleet had relays at the last call of [Roster.Targets].
func (r *Roster) HasRelays() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasRelays
}

// LastHeard returns when a host was last heard from, directly or through a relay; zero if it was not.
func (r *Roster) LastHeard(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received[name].heardAt
}

// ForgetSilent drops what a host reported unless it is live.
func (r *Roster) ForgetSilent(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLive(name, r.now()) {
		delete(r.received, name)
	}
}

// selectReceived returns the last heartbeats for which include returns true, sorted by name.
func (r *Roster) selectReceived(include func(receivedHeartbeat) bool) []Heartbeat {
	var heartbeats []Heartbeat
	for _, last := range r.received {
		if include(last) {
			heartbeats = append(heartbeats, last.heartbeat)
		}
	}
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.Name, b.Name) })
	return heartbeats
}

// SilentPeers returns the hosts that have a record but from which no heartbeat was received
// within [RetentionTime].
func (r *Roster) SilentPeers() []HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var silent []HostRecord
	for _, h := range r.records {
		last, isKnown := r.received[h.Name]
		if !isKnown || now.Sub(last.heardAt) > RetentionTime {
			silent = append(silent, h)
		}
	}
	return silent
}

func (r *Roster) now() time.Time {
	if r.Clock == nil {
		return time.Now()
	}
	return r.Clock()
}
