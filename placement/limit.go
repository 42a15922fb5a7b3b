package placement

// LimitReport is what a response of a backend server says of the rate of requests that the
// server accepts from all hosts together: [LimitedTo] or [Unlimited].
type LimitReport interface{ isLimitReport() }

// LimitedTo means that the server is in need and names a limit.
type LimitedTo struct {
	// Rate is the limit in requests per second, at least zero.
	Rate float64
}

// Unlimited means that the server names no limit.
type Unlimited struct{}

func (LimitedTo) isLimitReport() {}
func (Unlimited) isLimitReport() {}

// serverLimit is the limit that a server names.
type serverLimit struct {
	isNamed bool
	// rate is the limit in requests per second.
	rate float64
	// sent is how many requests this host sent to the server since it named the limit.
	sent uint64
}

// LimitChange tells how the limit of a server changed: [LimitNamed] or [LimitEnded].
type LimitChange interface{ isLimitChange() }

// LimitNamed means that a server names a limit, or another one than before.
type LimitNamed struct {
	Server string
	// Rate is the limit in requests per second.
	Rate float64
}

// LimitEnded means that a server names no limit any more.
type LimitEnded struct {
	Server string
	// Sent is how many requests this host sent to the server while there was a limit.
	Sent uint64
}

func (LimitNamed) isLimitChange() {}
func (LimitEnded) isLimitChange() {}

// RecordLimit records what a response of the reserved server says of its limit. It returns
// the change, or nil if there is none.
func (p *Pool) RecordLimit(r *Reservation, report LimitReport) LimitChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := &r.server.limit
	switch named := report.(type) {
	case LimitedTo:
		isChange := !limit.isNamed || limit.rate != named.Rate
		limit.isNamed, limit.rate = true, named.Rate
		if isChange {
			return LimitNamed{
				Server: r.server.Name,
				Rate:   named.Rate,
			}
		}
	case Unlimited:
		ended := LimitEnded{
			Server: r.server.Name,
			Sent:   limit.sent,
		}
		wasNamed := limit.isNamed
		*limit = serverLimit{}
		if wasNamed {
			return ended
		}
	}
	return nil
}
