package ticket

// Len returns the number of admitted tickets that the registry remembers.
func (r *Registry) Len() int {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ticketCount
}

// Result returns the result of the request with the ticket. It returns false if
// the ticket was not admitted here, its request did not run, or the ticket
// expired and was dropped.
func (r *Registry) Result(t Ticket) (Result, bool) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.issued.host != r.Host || t.issued.incarnation != r.Incarnation {
		return Unknown, false
	}
	result, found := r.buckets[expiryBucketOf(t)][t.key()]
	return result, found
}
