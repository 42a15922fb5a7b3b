package daemon

import (
	"context"
	"sync"
	"time"

	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/suspect"
)

const (
	// helloPeriod is the time between two signs of life to each host.
	helloPeriod = time.Second
	// helloLife is how long a sign of life counts.
	helloLife = 4 * time.Second
)

// heard remembers the processes that gave a sign of life.
type heard struct {
	mutex sync.Mutex
	last  map[string]sign
}

// sign is the last sign of life of a host.
type sign struct {
	identity share.Identity
	report   *steer.Report
	at       time.Time
}

func (h *heard) note(identity share.Identity, report *steer.Report, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.last == nil {
		h.last = make(map[string]sign)
	}
	h.last[identity.Host] = sign{
		identity: identity,
		report:   report,
		at:       now,
	}
}

// live returns the processes heard of lately.
func (h *heard) live(now time.Time) []share.Identity {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var live []share.Identity
	for _, s := range h.last {
		if now.Sub(s.at) < helloLife {
			live = append(live, s.identity)
		}
	}
	return live
}

// reports returns the last reports of the processes heard of lately.
func (h *heard) reports() []steer.Report {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var reports []steer.Report
	for _, s := range h.last {
		if s.report != nil {
			reports = append(reports, *s.report)
		}
	}
	return reports
}

// greet gives each listed host a sign of life and tells the limits who lives.
func (d *daemon) greet(ctx context.Context) {
	own := d.limits.Identity()
	for ctx.Err() == nil {
		report := d.report()
		if list := d.machines.Load(); list != nil {
			for _, m := range list.entries {
				if m.Name != d.settings.Host {
					d.peers.send(m.Name, func(waiting *packet) {
						waiting.Hello = &own
						waiting.Report = &report
					})
				}
			}
		}
		if !d.leaving.Load() {
			d.heard.note(own, &report, time.Now())
		}
		d.limits.SetLive(d.heard.live(time.Now()))
		pause(ctx, helloPeriod)
	}
}

// measurements returns what the writer of the plan goes by.
func (d *daemon) measurements() steer.Measurements {
	m := steer.Measurements{
		Reports: d.heard.reports(),
	}
	if list := d.machines.Load(); list != nil {
		for _, e := range list.entries {
			if e.State == platform.Live {
				m.Hosts = append(m.Hosts, e.Name)
			}
		}
	}
	return m
}

// isPlanCandidate reports whether this host is among the few that try to take
// the lease of the plan, so that the calls to the store do not grow with the
// fleet.
func (d *daemon) isPlanCandidate() bool {
	live := d.heard.live(time.Now())
	earlier := 0
	for _, l := range live {
		if l.Host < d.settings.Host {
			earlier++
		}
	}
	return earlier < planCandidates
}

// shareLoss tells all hosts of a backend server lost to a request.
func (d *daemon) shareLoss(loss suspect.Loss) {
	list := d.machines.Load()
	if list == nil {
		return
	}
	for _, m := range list.entries {
		if m.Name != d.settings.Host {
			d.peers.send(m.Name, func(waiting *packet) {
				waiting.Losses = append(waiting.Losses, loss)
			})
		}
	}
}
