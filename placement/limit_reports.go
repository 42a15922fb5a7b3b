package placement

import "time"

// The bounds on what hosts tell each other of the limits of servers.
const (
	// limitReportAge is for how long hosts repeat what a server said.
	limitReportAge = 10 * time.Second
	// A change is in each report for limitChangeTime, and then in one each limitReportInterval.
	limitChangeTime     = 3 * time.Second
	limitReportInterval = 4 * time.Second
	// maxReportDelay is added to the age of what another host says, for the time in which
	// its message was on its way. Without it, what comes back from other hosts would seem
	// newer than it is.
	maxReportDelay = 100 * time.Millisecond
)

// ServerLimit is what a host knows of the limit of a server, for other hosts.
type ServerLimit struct {
	Server string `json:"server"`
	// Started is when the server started, by its own clock; zero if unknown. A server that
	// has restarted since names its limit anew.
	Started time.Time `json:"started,omitzero"`
	// Rate is the limit in requests per second.
	Rate float64 `json:"rate"`
	// Ended is true if the server names no limit any more.
	Ended bool `json:"ended,omitempty"`
	// Age is how long ago the server said so.
	Age time.Duration `json:"age"`
}

// ReportSource says what a host reports of what servers said.
type ReportSource int

// The sources.
const (
	// OwnReports is what was in responses to this host.
	OwnReports ReportSource = iota
	// AllReports is also what other hosts reported, for a host that passes reports on.
	AllReports
)

// ServerLimits returns the limits for the next report to other hosts: those that servers named
// or ended a short time ago, and of the others those whose turn it is.
func (p *Pool) ServerLimits(source ReportSource) []ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var limits []ServerLimit
	for _, s := range p.servers {
		age := now.Sub(s.limit.observedAt)
		if source == OwnReports && !s.limit.isOwn || !s.limit.isDue(now) {
			continue
		}
		s.limit.reportedAt = now
		limits = append(limits, ServerLimit{
			Server:  s.Name,
			Started: s.Started,
			Rate:    s.limit.rate,
			Ended:   !s.limit.isNamed,
			Age:     age,
		})
	}
	return limits
}

// isDue reports whether the limit, or its end, is to be part of the next report.
func (l *serverLimit) isDue(now time.Time) bool {
	if l.observedAt.IsZero() || now.Sub(l.observedAt) > limitReportAge {
		return false
	}
	return now.Sub(l.changedAt) <= limitChangeTime || now.Sub(l.reportedAt) >= limitReportInterval
}

// AddServerLimits applies what another host knows of the limits of servers, where it is newer
// than what this host knows. It returns the changes.
func (p *Pool) AddServerLimits(limits []ServerLimit) []LimitChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var changes []LimitChange
	for _, limit := range limits {
		s, isListed := p.servers[limit.Server]
		observedAt := now.Add(-max(limit.Age, 0) - maxReportDelay)
		if !isListed || !s.Started.Equal(limit.Started) || !observedAt.After(s.limit.observedAt) {
			continue
		}
		if change := s.applyLimit(limit.report(), observedAt, now); change != nil {
			changes = append(changes, change)
		}
		s.limit.isOwn = false
	}
	return changes
}

// report returns what the server said.
func (l ServerLimit) report() LimitReport {
	if l.Ended {
		return Unlimited{}
	}
	return LimitedTo{
		Rate: max(l.Rate, 0),
	}
}
