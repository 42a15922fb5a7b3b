package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/quota"
)

// storedRecord is a host's record as the store has it.
type storedRecord struct {
	membership.HostRecord
	// StatesPart is true if Part says which part of the teams' rates the host may use. A host of an
	// earlier build does not state its part.
	StatesPart bool `json:"states-part,omitempty"`
	// Part is that part, in millionths. After a restart the host has it again without asking the
	// others, which may be down.
	Part int `json:"part,omitempty"`
	// Holders is the hash of the hosts among which a host of an earlier build has its part.
	Holders uint64 `json:"holders,omitempty"`
	// Stopped is true if the host has stopped. It may start again, so its part stays its own until
	// another host removes the record.
	Stopped bool `json:"stopped,omitempty"`
	// SuspectedBy is the name of the host that suspects that this one is gone, and removes the record unless it is written anew.
	SuspectedBy string `json:"suspected-by,omitempty"`
	// Rewrites counts writes whose outcome was not known, so that the next one changes the record
	// and a late one of these does not replace it.
	Rewrites uint64 `json:"rewrites,omitempty"`
}

// InvalidRecordError reports a host's record that no host writes.
type InvalidRecordError struct {
	Key    string
	Reason string
}

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("record of a host %q: %s", e.Key, e.Reason)
}

// decodeRecord reads a host's record. It returns an [InvalidRecordError] if it is one that no host
// writes.
func decodeRecord(o objectstore.Object) (storedRecord, error) {
	var record storedRecord
	reason := ""
	err := json.Unmarshal(o.Value, &record)
	switch {
	case err != nil:
		reason = err.Error()
	case hostRecordPrefix+record.Name != o.Key:
		reason = "it names another host"
	case !record.PeerAddress.IsValid():
		reason = "it has no address for other hosts"
	case record.Part < 0 || record.Part > quota.WholePart:
		reason = "its part is out of range"
	default:
		return record, nil
	}
	return storedRecord{}, &InvalidRecordError{
		Key:    o.Key,
		Reason: reason,
	}
}

// isOfEarlierBuild reports whether the host does not state its part.
func (r *storedRecord) isOfEarlierBuild() bool { return r.Name != "" && !r.StatesPart }

// statedPart returns the part that the record states, zero if there is none. A host of an earlier
// build has an equal part if it is one of the holders.
func (r *storedRecord) statedPart(name string, holders []string) int {
	if r.isOfEarlierBuild() && slices.Contains(holders, name) {
		return quota.WholePart / len(holders)
	}
	return r.Part
}

// hostRecords holds the records of all hosts as they were last read.
type hostRecords struct {
	// own is this host's; its name is empty if the store has none.
	own        storedRecord
	ownVersion objectstore.Version
	// known holds the records of all hosts by name.
	known map[string]knownRecord
}

// knownRecord is a record of a host.
type knownRecord struct {
	record  storedRecord
	version objectstore.Version
	// since is since when this host knows a record of this name.
	since time.Time
	// changedAt is when this host first saw the record as it is.
	changedAt time.Time
	// removeAt is when this host removes the record of a host that has stopped, if no other does so
	// before.
	removeAt time.Time
}

// hasEarlierBuild reports whether another host does not state its part.
func (r *hostRecords) hasEarlierBuild() bool {
	for name, known := range r.known {
		if name != r.own.Name && known.record.isOfEarlierBuild() {
			return true
		}
	}
	return false
}

// stoppedRecordTime is how long a host may take to start again and still have its part, and at most
// twice that. It is longer than hosts remember what a host reported.
const stoppedRecordTime = membership.RetentionTime

// applyHosts takes the records of all hosts, and gives those of running ones to the roster. It is
// always urgent.
func (h *host) applyHosts(objects map[string]objectstore.Object) (isUrgent bool) {
	before := h.records.Load()
	if before == nil {
		before = &hostRecords{}
	}
	now := time.Now()
	records := &hostRecords{
		known: make(map[string]knownRecord),
	}
	var running []membership.HostRecord
	for _, o := range objects {
		record, err := decodeRecord(o)
		if err != nil {
			h.logInvalid(o, err)
			continue
		}
		isOwn := record.Name == h.settings().Host
		if isOwn {
			records.own, records.ownVersion = record, o.Version
		}
		if isOwn || !record.Stopped {
			running = append(running, record.HostRecord)
		}
		records.known[record.Name] = before.known[record.Name].replaceWith(record, o.Version, now)
	}
	if isFirst := h.records.Swap(records) == nil; isFirst && records.own.Joined != 0 {
		h.joined.Store(records.own.Joined)
	}
	h.roster.SetRecords(running)
	for name := range before.known {
		if _, isKnown := records.known[name]; !isKnown {
			// It owns nothing that the others would have to leave to it.
			h.roster.ForgetSilent(name)
		}
	}
	if records.own.Name != "" && !records.own.Stopped {
		h.resumePart(records.own, records.ownVersion)
	}
	h.hostsLoaded.Store(true)
	h.checkRecordSoon()
	return true
}

// replaceWith returns what is known of a host whose record was read again. All hosts may remove that
// of one that has stopped, at different times.
func (k knownRecord) replaceWith(record storedRecord, version objectstore.Version, now time.Time) knownRecord {
	replaced := knownRecord{
		record:    record,
		version:   version,
		since:     k.since,
		changedAt: k.changedAt,
		removeAt:  k.removeAt,
	}
	if k.version != version {
		replaced.changedAt = now
	}
	if replaced.since.IsZero() {
		replaced.since = now
	}
	if record.Stopped && (!k.record.Stopped || k.version != version) {
		replaced.removeAt = now.Add(stoppedRecordTime + rand.N(stoppedRecordTime))
	}
	return replaced
}

// removeStopped removes the records of hosts that have not started again for long, so that the others
// have their parts.
func (h *host) removeStopped(ctx context.Context) {
	records := h.records.Load()
	if records == nil {
		return
	}
	for name, known := range records.known {
		if !known.record.Stopped || name == h.settings().Host || time.Now().Before(known.removeAt) {
			continue
		}
		// A host that has started again and reaches no store can't write that it runs, and may use its part.
		if peer, isHeard := h.roster.RecentPeer(name); isHeard && !peer.Draining {
			continue
		}
		err := h.store.Delete(ctx, hostRecordPrefix+name, objectstore.IfVersion{
			Version: known.version,
		})
		var notFound *objectstore.NotFoundError
		var conflict *objectstore.ConflictError
		if err != nil && !errors.As(err, &notFound) && !errors.As(err, &conflict) {
			h.log.Write(observe.HostRecordWriteFailed, zap.Error(err))
		}
	}
}

// awaitHostsLoaded waits until the records of all hosts are known, but at most for
// [recordWaitTime], since hosts may find each other only through this one's record.
func (h *host) awaitHostsLoaded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordWaitTime)
	defer cancel()
	for ctx.Err() == nil && !h.hostsLoaded.Load() {
		sleep(ctx, recordWaitTime/100)
	}
}

// recordWaitTime is how long a host waits for the records of the others before it writes its
// own.
const recordWaitTime = 2 * time.Second
