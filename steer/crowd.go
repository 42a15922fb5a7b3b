package steer

// RecordNoFreeSlot tells the router that a moved request found no slot in its region. It
// counts as a denied move, so that steps are no larger than the room that the
// other regions have.
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
		e.hold.denied++
		return
	}
	state.hold.denied++
}
