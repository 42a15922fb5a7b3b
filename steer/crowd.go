package steer

// NoSlot tells the router that a moved request found no slot in its region. It
// counts as a denied move, so that steps are no larger than the room that the
// other regions have.
func (r *Router) NoSlot(q Request, d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.routes[q.Route]
	if state == nil || d.From == "" {
		return
	}
	e := state.evacuations[d.From]
	if e == nil {
		e = state.evacuations[d.Region]
	}
	if e != nil {
		e.hold.denied++
		return
	}
	state.hold.denied++
}
