package steer

// RecordNoFreeSlot records that a moved request found no free slot in its
// region. The move counts as rejected, so that only the part of the step
// settles that found slots.
func (r *Router) RecordNoFreeSlot(q Request, d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.routes[q.Route]
	if state == nil || d.MovedFrom == "" {
		return
	}
	e := state.evacuations[d.MovedFrom]
	if e == nil {
		// Traffic that returns to a region counts for the evacuation of that region.
		e = state.evacuations[d.Region]
	}
	if e != nil {
		e.tracker.movesRejected++
		return
	}
	state.tracker.movesRejected++
}
