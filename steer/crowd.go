package steer

// RecordNoFreeSlot records that a moved request found no free slot in its
// region. The move counts as denied, so that steps grow no larger than the
// free slots of the other regions.
func (r *Router) RecordNoFreeSlot(q Request, d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.routes[q.Route]
	if state == nil || d.MovedFrom == "" {
		return
	}
	e := state.evacuations[d.MovedFrom]
	if e == nil {
		e = state.evacuations[d.Region]
	}
	if e != nil {
		e.tracker.movesDenied++
		return
	}
	state.tracker.movesDenied++
}
