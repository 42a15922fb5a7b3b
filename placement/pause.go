package placement

import "time"

// PauseReport is what a response of a backend server says of a pause: [PauseFor], [NoPause] or
// [InvalidPause].
type PauseReport interface{ isPauseReport() }

// PauseFor means that the server turned the request away and wants nothing from this host for a
// time.
type PauseFor struct {
	Duration time.Duration
}

// NoPause means that the server asks for no pause.
type NoPause struct{}

// InvalidPause means that what the server says is no time. It is treated as [NoPause].
type InvalidPause struct {
	Value string
}

func (PauseFor) isPauseReport()     {}
func (NoPause) isPauseReport()      {}
func (InvalidPause) isPauseReport() {}

// MaxPause is the longest pause. A server that asks for a longer one gets requests again after
// this time, so that a mistake does not lose it for good.
const MaxPause = 5 * time.Minute

// RecordPause records that the reserved server asked this host for a pause. A pause never ends one
// that lasts longer. It returns how long the server is paused.
func (p *Pool) RecordPause(r *Reservation, duration time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.listed(r.server)
	s.pausedUntil = later(s.pausedUntil, now.Add(min(duration, MaxPause)))
	s.said.pausedUntil = s.pausedUntil
	p.dispatch(p.service(s.Service), now)
	return s.pausedUntil.Sub(now)
}

// PauseError returns the error for a request that no server takes now because all of them are
// paused, and false if that is not so.
func (p *Pool) PauseError(request Request) (*BusyError, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, svc := p.now(), p.service(request.Service)
	if len(p.eligible(svc, &request, now)) > 0 {
		return nil, false
	}
	return p.pauseError(svc, &request, now)
}

// pauseError returns the error for a request all of whose servers are paused, and false if there
// are none that are. Such requests are told to come back one after the other, from the end of the
// first pause on, at the rate at which the server runs them.
func (p *Pool) pauseError(svc *serviceState, request *Request, now time.Time) (*BusyError, bool) {
	var first *server
	for _, s := range svc.servers {
		isFirst := first == nil || s.pausedUntil.Before(first.pausedUntil)
		if isFirst && s.state(now) == paused && request.allows(s) {
			first = s
		}
	}
	if first == nil {
		return nil, false
	}
	ends := first.pausedUntil
	perRequest := p.meanSlotTime(request.Route) / time.Duration(max(first.Slots, 1))
	svc.promisedUntil = later(svc.promisedUntil.Add(perRequest), ends)
	if spread := svc.promisedUntil.Sub(ends); spread > maxReturnSpread {
		svc.promisedUntil = ends
	}
	return &BusyError{
		Service:    request.Service,
		RetryAfter: svc.promisedUntil.Sub(now),
		IsPaused:   true,
	}, true
}

// maxReturnSpread is within what time after the end of a pause all callers are told to come back.
const maxReturnSpread = 2 * time.Second

// unservable returns the error for a request that no server takes now; nil if one does, be it one
// that has no room.
func (p *Pool) unservable(svc *serviceState, request *Request, now time.Time) error {
	if len(p.eligible(svc, request, now)) > 0 {
		return nil
	}
	if err, isPaused := p.pauseError(svc, request, now); isPaused {
		return err
	}
	return &NoServerError{
		Service: request.Service,
	}
}
