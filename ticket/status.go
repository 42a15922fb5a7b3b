package ticket

// Len returns how many names are remembered.
func (r *Registry) Len() int {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Result returns what came of a request under the name, and false if the name
// was not admitted here, did not run, or is forgotten.
func (r *Registry) Result(name Ticket) (Result, bool) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if name.block.host != r.Host || name.block.incarnation != r.Incarnation {
		return Unknown, false
	}
	result, found := r.windows[windowOf(name)][name.used()]
	return result, found
}
