package host

import (
	"context"
	"encoding/json"

	"trefoilline.example/trefoilline/objectstore"
)

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
	_, err = h.store.Put(ctx, w.key(), value, h.stopCondition())
	return err
}

// stopCondition returns the condition of the write that says that this host stops. Without a lease, the record may have been
// removed and its part taken by others.
func (h *host) stopCondition() objectstore.Condition {
	records := h.records.Load()
	if records == nil || records.ownVersion == 0 || !h.hasLostLease() {
		return objectstore.Always{}
	}
	return objectstore.IfVersion{
		Version: records.ownVersion,
	}
}
