package host

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/quota"
)

const (
	// maxReclaimDelay is by how much hosts do the same at different times, so that mostly one of them writes.
	maxReclaimDelay = 500 * time.Millisecond
	// reclaimInterval is the time between two writes to the same record, in which the copy shows the first.
	reclaimInterval = 2 * time.Second
)

// reclaimer removes the records of hosts that are lost for good, once their leases have ended, so that the others divide what
// they owned.
type reclaimer struct {
	host  *host
	delay time.Duration
	// attemptedAt is when this host last wrote to or removed each record, by name.
	attemptedAt map[string]time.Time
}

func newReclaimer(h *host) *reclaimer {
	return &reclaimer{
		host:        h,
		delay:       rand.N(maxReclaimDelay),
		attemptedAt: make(map[string]time.Time),
	}
}

// step looks at all records, and marks or removes those of hosts that were not heard from.
func (r *reclaimer) step(ctx context.Context) {
	records := r.host.records.Load()
	if records == nil || !r.isTaker() {
		return
	}
	now := time.Now()
	maps.DeleteFunc(r.attemptedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= reclaimInterval })
	for name, known := range records.known {
		hasRelaysAndNoPart := r.host.roster.HasRelays() && known.record.Part == 0
		_, wasAttempted := r.attemptedAt[name]
		if name == r.host.settings().Host || hasRelaysAndNoPart || wasAttempted {
			continue
		}
		r.reclaim(ctx, now, name, known)
	}
}

// isTaker reports whether this host is to have a part of what is free, or none of those that are is live.
func (r *reclaimer) isTaker() bool {
	holders := r.host.holders(r.host.members())
	return slices.Contains(holders, r.host.settings().Host) || !slices.ContainsFunc(holders, func(name string) bool {
		_, isLive := r.host.roster.LivePeer(name)
		return isLive
	})
}

// reclaim does what is next about one record.
func (r *reclaimer) reclaim(ctx context.Context, now time.Time, name string, known knownRecord) {
	action := quota.NextReclaimAction(now.Add(-r.delay), quota.ObservedRecord{
		IsLeased:    known.record.Leased,
		IsSuspected: known.record.SuspectedBy != "",
		ChangedAt:   known.changedAt,
		HeardAt:     r.host.peerMessenger.lastHeard(name),
	})
	var event observe.Event
	var err error
	switch action.(type) {
	case quota.SuspectRecord:
		event, err = observe.HostSuspected, r.suspect(ctx, known)
	case quota.RemoveRecord:
		event, err = observe.HostRecordReclaimed, r.remove(ctx, known)
	case quota.KeepRecord:
		return
	}
	r.attemptedAt[name] = now
	switch {
	case err == nil:
		r.host.log.Write(event, zap.String("host", name), zap.Int("part", known.record.Part))
	case !isRemoved(err):
		r.host.log.Write(observe.HostRecordWriteFailed, zap.Error(err))
	}
}

// suspect marks a record, so that its writer, if it runs, writes it anew.
func (r *reclaimer) suspect(ctx context.Context, known knownRecord) error {
	marked := known.record
	marked.SuspectedBy = r.host.settings().Host
	value, err := json.Marshal(marked)
	if err != nil {
		return err
	}
	_, err = r.host.store.Put(ctx, hostRecordPrefix+marked.Name, value, objectstore.IfVersion{
		Version: known.version,
	})
	return err
}

func (r *reclaimer) remove(ctx context.Context, known knownRecord) error {
	return r.host.store.Delete(ctx, hostRecordPrefix+known.record.Name, objectstore.IfVersion{
		Version: known.version,
	})
}

// isRemoved reports whether a write failed because its object has been removed or replaced.
func isRemoved(err error) bool {
	var notFound *objectstore.NotFoundError
	var conflict *objectstore.ConflictError
	return errors.As(err, &notFound) || errors.As(err, &conflict)
}
