package host

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/quota"
)

// recordRetryDelay is the time between two attempts to write this host's record.
const recordRetryDelay = time.Second

// recordCheckInterval is the time after which a record that was written but is not among those
// that were read counts as removed.
const recordCheckInterval = 10 * time.Second

// partCheckInterval is the time between two checks whether this host's record states the part of
// the teams' rates that it should.
const partCheckInterval = time.Second

// recordWriter keeps this host's record in the store. Each write replaces the version of the record
// that was last read or written, so that a late one does not replace a later one.
type recordWriter struct {
	host *host
	// stored is what the store has, at version; zero if it has no record.
	stored  storedRecord
	version objectstore.Version
	// writtenAt is when the record was last written.
	writtenAt time.Time
	// checkedAt is when the record was last read for the lease.
	checkedAt time.Time
	// rewrites counts writes whose outcome is not known.
	rewrites uint64
}

// checkRecordSoon makes the host check its record before the next interval.
func (h *host) checkRecordSoon() {
	select {
	case h.recordDue <- struct{}{}:
	default:
	}
}

// writeRecord writes this host's record to the store unless the store has it already, from
// before a restart, and does so again if the record is gone or the part that it states changes. It
// removes the records of hosts that stopped long ago or are lost. It ends when the host drains.
func (h *host) writeRecord(ctx context.Context) {
	h.awaitHostsLoaded(ctx)
	w := &recordWriter{
		host: h,
	}
	reclaimer := newReclaimer(h)
	for ctx.Err() == nil && !h.draining.Load() {
		isChanged, err := w.step(ctx)
		if err != nil {
			h.log.Write(observe.HostRecordWriteFailed, zap.Error(err))
			sleep(ctx, recordRetryDelay)
		} else if isChanged {
			continue
		}
		h.removeStopped(ctx)
		reclaimer.step(ctx)
		h.updateMemoryLimit()
		select {
		case <-ctx.Done():
		case <-h.recordDue:
		case <-time.After(partCheckInterval):
		}
	}
}

// step makes one call to the store, if one is needed, and reports whether another step may follow at
// once.
func (w *recordWriter) step(ctx context.Context) (isChanged bool, err error) {
	w.readCopy()
	w.host.part.EndLease()
	if w.stored.Stopped {
		return true, w.restart(ctx)
	}
	if w.isCheckDue() {
		w.checkedAt = time.Now()
		if err := w.read(ctx); err != nil {
			return false, err
		}
	}
	action := w.nextAction()
	if _, isConfirm := action.(quota.ConfirmPart); isConfirm && w.version != 0 {
		return w.confirm(ctx)
	}
	own := w.record()
	if state, isState := action.(quota.StatePart); isState {
		own.Part = state.Part
	}
	own.Holders = w.stored.Holders
	if own == w.stored {
		return false, nil
	}
	if own.Part > 0 {
		members := w.host.members()
		own.Holders = hashHolders(members, w.host.holders(members))
	}
	// If the outcome is not known, what is then found in the store is not left by an earlier process.
	w.host.part.SetKnown()
	hasRecord := w.version != 0
	if err := w.write(ctx, own); err != nil {
		return false, err
	}
	w.host.part.Settle(hasRecord)
	w.host.part.SetStated(own.Part, w.version)
	return true, nil
}

// isCheckDue reports whether the store is to be asked whether the record stands.
func (w *recordWriter) isCheckDue() bool {
	isRecent := time.Since(w.checkedAt) < leaseCheckInterval
	return w.version != 0 && !isRecent && w.host.needsLease() && w.host.part.IsLeaseOlder(leaseCheckAge)
}

// record returns this host's record, with the part that it stated last.
func (w *recordWriter) record() storedRecord {
	return storedRecord{
		HostRecord: w.host.record(),
		StatesPart: true,
		Part:       w.host.part.Stated(),
		Rewrites:   w.rewrites,
	}
}

// nextAction returns what is to be done about the part that the record states.
func (w *recordWriter) nextAction() quota.PartAction {
	members := w.host.members()
	states := w.host.memberStates(members, w.host.holders(members))
	target := w.host.targetPart(states)
	inUse := w.host.limiter.PartInUse()
	part := &w.host.part
	part.mu.Lock()
	defer part.mu.Unlock()
	return part.claim.Next(time.Now(), target, inUse, states)
}

// readCopy takes this host's record from the copy of all records if it is newer than what was last
// written, or if what was written long ago is missing from it.
func (w *recordWriter) readCopy() {
	records := w.host.records.Load()
	switch {
	case records == nil:
	case records.own.Name == "":
		if w.version != 0 && time.Since(w.writtenAt) > recordCheckInterval {
			w.stored, w.version = storedRecord{}, 0
		}
	case records.ownVersion > w.version && !w.host.part.IsOlder(records.ownVersion):
		w.take(records.own, records.ownVersion)
	}
}

// take applies what the store has as this host's record.
func (w *recordWriter) take(stored storedRecord, version objectstore.Version) {
	w.stored, w.version = stored, version
	w.rewrites = max(w.rewrites, stored.Rewrites)
	if !stored.Stopped && !w.host.resumePart(stored, version) {
		w.host.part.SetStated(stored.Part, version)
	}
}

// resumePart lets this host use the part that a record of an earlier process states. It returns false
// and does nothing if it was called before, or this process has written a record.
func (h *host) resumePart(stored storedRecord, version objectstore.Version) bool {
	if h.part.IsOfThisProcess() {
		return false
	}
	members := h.members()
	holders := h.holders(members)
	states := h.memberStates(members, holders)
	part := h.partOf(stored, members, holders)
	for i := range states {
		if states[i].Name == h.settings().Host {
			states[i].Stated = part
		}
	}
	h.part.mu.Lock()
	defer h.part.mu.Unlock()
	if h.part.isKnown {
		return false
	}
	h.part.claim.Resume(part, states)
	h.part.isKnown, h.part.isResumed, h.part.version = true, part > 0, version
	h.updateDivisionSoon()
	return true
}

// partOf returns the part that a record of an earlier process of this host states. One of an earlier
// build had its part among the holders that its record names.
func (h *host) partOf(stored storedRecord, members []membership.HostRecord, holders []string) int {
	if stored.isOfEarlierBuild() && stored.Holders != hashHolders(members, holders) {
		return 0
	}
	return stored.statedPart(stored.Name, holders)
}

// hashHolders returns the hash of the members that are to have a part.
func hashHolders(members []membership.HostRecord, holders []string) uint64 {
	division := quota.Division{
		Holders: holders,
		Joined:  make(map[string]uint64),
	}
	for _, m := range members {
		division.Joined[m.Name] = m.Joined
	}
	return division.Hash()
}

// restart replaces a record which says that this host has stopped: that of an earlier process. If
// another host has removed it meanwhile, this host has joined anew, and has no part.
func (w *recordWriter) restart(ctx context.Context) error {
	before := w.stored
	own := w.record()
	own.Holders, own.StatesPart = before.Holders, before.StatesPart
	if !w.host.part.IsOfThisProcess() {
		own.Part = before.Part
	}
	own.Part = w.host.part.LimitRecovered(own.Part, before.Part)
	err := w.write(ctx, own)
	switch {
	case err == nil:
		w.host.part.Settle(true)
		if !w.host.resumePart(own, w.version) {
			w.host.part.SetStated(own.Part, w.version)
		}
	case isRemoved(err) && w.version == 0:
		w.host.joined.CompareAndSwap(before.Joined, w.host.incarnation)
		w.host.part.Settle(false)
		w.host.part.SetStated(0, 0)
	}
	return err
}

// write replaces this host's record, or creates it.
func (w *recordWriter) write(ctx context.Context, own storedRecord) error {
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	var condition objectstore.Condition = objectstore.IfAbsent{}
	if w.version != 0 {
		condition = objectstore.IfVersion{
			Version: w.version,
		}
	}
	sentAt := time.Now()
	version, err := w.host.store.Put(ctx, w.key(), value, condition)
	var notSent *objectstore.UnavailableError
	switch {
	case err == nil:
		w.stored, w.version, w.writtenAt = own, version, time.Now()
		w.host.part.ConfirmLease(sentAt)
		w.host.updateDivisionSoon()
		return nil
	case isRemoved(err):
		return errors.Join(err, w.read(ctx))
	case !errors.As(err, &notSent):
		w.rewrites++
	}
	return err
}

// read reads this host's record from the store, for the lease or after a write whose condition did not hold.
func (w *recordWriter) read(ctx context.Context) error {
	sentAt := time.Now()
	found, err := w.host.store.Get(ctx, w.key())
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		w.forget()
		return nil
	}
	if err != nil {
		return err
	}
	stored, err := decodeRecord(found)
	if err != nil {
		// It is replaced by the next write.
		w.stored, w.version = storedRecord{}, found.Version
		return err
	}
	w.host.part.Settle(true)
	if found.Version != w.version {
		w.take(stored, found.Version)
	}
	if stored.SuspectedBy == "" && !stored.Stopped {
		w.host.part.ConfirmLease(sentAt)
		w.host.updateDivisionSoon()
	}
	return nil
}

// forget notes that the store has no record of this host. If its lease has ended, others may have what it owned, and it joins anew.
func (w *recordWriter) forget() {
	w.stored, w.version = storedRecord{}, 0
	w.host.part.Settle(false)
	if w.host.part.HasLostLease() {
		w.host.joined.Store(uint64(time.Now().UnixNano()))
		w.host.part.SetStated(0, 0)
	}
}

// confirm lists the records of all hosts, and lets this host use the part that its own states if
// the parts add up to no more than the whole. It reports whether they do.
func (w *recordWriter) confirm(ctx context.Context) (bool, error) {
	sentAt := time.Now()
	objects, err := w.host.store.List(ctx, hostRecordPrefix)
	if err != nil {
		return false, err
	}
	var records []storedRecord
	isListed, isFound := false, false
	for _, o := range objects {
		record, err := decodeRecord(o)
		if err != nil {
			w.host.logInvalid(o, err)
			continue
		}
		records = append(records, record)
		if record.Name != w.host.settings().Host {
			continue
		}
		isFound = true
		if o.Version > w.version {
			w.take(record, o.Version)
		}
		isListed = record == w.stored
	}
	switch {
	case !isFound && w.host.part.HasLostLease():
		w.forget()
		return true, nil
	case !isListed || w.stored.SuspectedBy != "" || !w.host.confirmPart(records):
		// The store was restored, another host suspects this one, or another process writes the record; the next copy shows it.
		return false, nil
	}
	w.host.part.ConfirmLease(sentAt)
	return true, nil
}

// confirmPart lets this host use its part if the parts that all records state add up to no more than
// the whole, and reports whether they do.
func (h *host) confirmPart(records []storedRecord) bool {
	var names []string
	for _, r := range records {
		names = append(names, r.Name)
	}
	var states []quota.Member
	for _, r := range records {
		states = append(states, quota.Member{
			Name:   r.Name,
			Stated: r.statedPart(r.Name, names),
		})
	}
	h.part.mu.Lock()
	defer h.part.mu.Unlock()
	h.updateDivisionSoon()
	return h.part.claim.Confirm(states)
}

func (w *recordWriter) key() string { return hostRecordPrefix + w.host.settings().Host }
