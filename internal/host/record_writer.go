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
// removes the records of hosts that stopped long ago. It ends when the host drains.
func (h *host) writeRecord(ctx context.Context) {
	h.awaitHostsLoaded(ctx)
	w := &recordWriter{
		host: h,
	}
	for ctx.Err() == nil && !h.draining.Load() {
		isChanged, err := w.step(ctx)
		if err != nil {
			h.log.Write(observe.HostRecordWriteFailed, zap.Error(err))
			sleep(ctx, recordRetryDelay)
		} else if isChanged {
			continue
		}
		h.removeStopped(ctx)
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
	if w.stored.Stopped {
		return true, w.restart(ctx)
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

// isRemoved reports whether a write failed because its object has been removed or replaced.
func isRemoved(err error) bool {
	var notFound *objectstore.NotFoundError
	var conflict *objectstore.ConflictError
	return errors.As(err, &notFound) || errors.As(err, &conflict)
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
	version, err := w.host.store.Put(ctx, w.key(), value, condition)
	var notSent *objectstore.UnavailableError
	switch {
	case err == nil:
		w.stored, w.version, w.writtenAt = own, version, time.Now()
		return nil
	case isRemoved(err):
		return errors.Join(err, w.read(ctx))
	case !errors.As(err, &notSent):
		w.rewrites++
	}
	return err
}

// read reads this host's record from the store after a write whose condition did not hold.
func (w *recordWriter) read(ctx context.Context) error {
	found, err := w.host.store.Get(ctx, w.key())
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		w.stored, w.version = storedRecord{}, 0
		w.host.part.Settle(false)
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
	w.take(stored, found.Version)
	return nil
}

// confirm lists the records of all hosts, and lets this host use the part that its own states if
// the parts add up to no more than the whole. It reports whether they do.
func (w *recordWriter) confirm(ctx context.Context) (bool, error) {
	objects, err := w.host.store.List(ctx, hostRecordPrefix)
	if err != nil {
		return false, err
	}
	var records []storedRecord
	isListed := false
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
		if o.Version > w.version {
			w.take(record, o.Version)
		}
		isListed = record == w.stored
	}
	// Else the store was restored or another process writes the record; the next copy shows it.
	return isListed && w.host.confirmPart(records), nil
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

// markStopped writes into this host's record that it stops. It may run while a last write of
// [host.writeRecord] is under way, whose condition then no longer holds.
func (h *host) markStopped(ctx context.Context) error {
	w := &recordWriter{
		host: h,
	}
	own := w.record()
	own.Stopped = true
	if records := h.records.Load(); records != nil {
		own.Holders, own.Rewrites = records.own.Holders, records.own.Rewrites
		if !h.part.IsOfThisProcess() {
			own.StatesPart, own.Part = records.own.StatesPart, records.own.Part
		}
	}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	_, err = h.store.Put(ctx, w.key(), value, objectstore.Always{})
	return err
}
