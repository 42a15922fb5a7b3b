package bufferproxy

import "time"

// drainingPeriod is the time from which a host drains until it ends the requests that still run.
type drainingPeriod struct {
	acceptAllUntil time.Time
	end            time.Time
}

const (
	// acceptAllFraction is the fraction of the draining time, from its start, in which the host
	// accepts all requests: most of them end in time.
	acceptAllFraction = 0.45
	// maxAcceptAllTime bounds that time. Callers learn within seconds that the host leaves, and
	// what comes later is not to be cut.
	maxAcceptAllTime = 2500 * time.Millisecond
)

// StartDraining tells the handler that the host will end the running requests after the given
// time. From now on the handler closes the caller's connection after each response, so that the
// caller sends its next requests to another host. After a while it rejects requests whose
// deadline is later than that, because they might not end before the host stops, also those whose body has not
// arrived until then.
func (h *Handler) StartDraining(timeToStop time.Duration) {
	now := h.now()
	acceptAllTime := min(time.Duration(acceptAllFraction*float64(timeToStop)), maxAcceptAllTime)
	period := &drainingPeriod{
		acceptAllUntil: now.Add(acceptAllTime),
		end:            now.Add(timeToStop),
	}
	h.draining.Store(period)
	time.AfterFunc(acceptAllTime, func() { h.rejectUploads(period.end) })
}

// accepts reports whether a request that is read at the given time and must end by the deadline
// is served.
func (p *drainingPeriod) accepts(now, deadline time.Time) bool {
	return now.Before(p.acceptAllUntil) || !deadline.After(p.end)
}
