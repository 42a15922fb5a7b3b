package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// incarnation identifies one start of a server. A server that starts again, also under a name or
// at an address that was used before, is another one.
type incarnation struct {
	name    string
	started int64
	address netip.AddrPort
}

func incarnationOf(m objectstore.Machine) incarnation {
	return incarnation{
		name:    m.Name,
		started: m.Started.UnixNano(),
		address: m.Address,
	}
}

// statements holds what a server has said in its responses that holds for all of its incarnation.
// They are kept while the server is not listed, since it may be listed again.
type statements struct {
	isLeaving bool
	// leavingSince is when this host learned that the server leaves, and isOwn is true if it did
	// so from a response.
	leavingSince time.Time
	isOwn        bool
	// pausedUntil is the end of the last pause that the server asked this host for.
	pausedUntil time.Time
	// unlistedSince is when the server was first missing from the list; zero if it is listed.
	unlistedSince time.Time
}

// statementsTime is how long the statements of a server are kept that is not listed. A server that
// leaves ends long before.
const statementsTime = time.Hour

// statementsOf returns the statements of a server's incarnation, which is listed.
func (p *Pool) statementsOf(m objectstore.Machine) *statements {
	if p.statements == nil {
		p.statements = make(map[incarnation]*statements)
	}
	key := incarnationOf(m)
	said := p.statements[key]
	if said == nil {
		said = &statements{}
		p.statements[key] = said
	}
	said.unlistedSince = time.Time{}
	return said
}

// dropStatements drops the statements of servers that are not listed, at once if there are none
// that matter.
func (p *Pool) dropStatements(now time.Time) {
	for key, said := range p.statements {
		if s, isListed := p.servers[key.name]; isListed && s.said == said {
			continue
		}
		if said.unlistedSince.IsZero() {
			said.unlistedSince = now
		}
		matters := said.isLeaving || now.Before(said.pausedUntil)
		if !matters || now.Sub(said.unlistedSince) > statementsTime {
			delete(p.statements, key)
		}
	}
}

// leavingReportTime is for how long hosts report that a server leaves: in two messages to each host,
// or to each of two relays, as a rule.
const leavingReportTime = time.Second

// LeavingServer says that a server leaves, for other hosts.
type LeavingServer struct {
	Server string `json:"server"`
	// Started is when the server started, by its own clock; zero if unknown. Then its address
	// tells it from earlier ones of the same name.
	Started time.Time      `json:"started,omitzero"`
	Address netip.AddrPort `json:"address,omitzero"`
}

// isOf reports whether a report is of this start of the server.
func (l LeavingServer) isOf(s *server) bool {
	if l.Started.IsZero() {
		return s.Started.IsZero() && s.Address == l.Address
	}
	return s.Started.Equal(l.Started)
}

// RecordLeaving records that the reserved server said that it leaves. No request is sent to it any
// more, whatever the store's list or another host says, until it starts again. It reports whether
// that is new.
func (p *Pool) RecordLeaving(r *Reservation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.listed(r.server)
	isNew := p.setLeaving(s)
	s.said.isOwn = s.said.isOwn || isNew
	return isNew
}

// listed returns the server as it is listed now, which is another object if it was missing from a list
// in between. If it is not listed, it returns the given one, and what that says is kept.
func (p *Pool) listed(s *server) *server {
	key := incarnationOf(s.Machine)
	if l, isListed := p.servers[s.Name]; isListed && incarnationOf(l.Machine) == key {
		return l
	}
	p.statements[key] = s.said
	return s
}

// setLeaving records that a server leaves and moves the requests that are queued for it.
func (p *Pool) setLeaving(s *server) (isNew bool) {
	if s.isLeaving {
		return false
	}
	now := p.now()
	s.isLeaving, s.said.isLeaving, s.said.leavingSince = true, true, now
	p.dispatch(p.service(s.Service), now)
	return true
}

// LeavingServers returns the servers that were found to leave a short time ago, for the next report
// to other hosts.
func (p *Pool) LeavingServers(source ReportSource) []LeavingServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var found []LeavingServer
	for _, s := range p.servers {
		isRecent := s.isLeaving && now.Sub(s.said.leavingSince) <= leavingReportTime
		if !isRecent || source == OwnReports && !s.said.isOwn {
			continue
		}
		l := LeavingServer{
			Server:  s.Name,
			Started: s.Started,
		}
		if s.Started.IsZero() {
			l.Address = s.Address
		}
		found = append(found, l)
	}
	slices.SortFunc(found, func(a, b LeavingServer) int { return cmp.Compare(a.Server, b.Server) })
	return found
}

// AddLeavingServers applies what another host found, and returns the names of the servers of which
// it is new. What is said of another incarnation than the listed one changes nothing.
func (p *Pool) AddLeavingServers(reported []LeavingServer) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var added []string
	for _, l := range reported {
		s, isListed := p.servers[l.Server]
		if isListed && l.isOf(s) && p.setLeaving(s) {
			added = append(added, l.Server)
		}
	}
	return added
}
