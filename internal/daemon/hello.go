package daemon

import (
	"context"
	"sync"
	"time"

	"trefoilline.example/trefoilline/share"
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
	at       time.Time
}

func (h *heard) note(identity share.Identity, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.last == nil {
		h.last = make(map[string]sign)
	}
	h.last[identity.Host] = sign{
		identity: identity,
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

// greet gives each listed host a sign of life and tells the limits who lives.
func (d *daemon) greet(ctx context.Context) {
	own := d.limits.Identity()
	for ctx.Err() == nil {
		if list := d.machines.Load(); list != nil {
			for _, m := range list.entries {
				if m.Name != d.settings.Host {
					d.peers.send(m.Name, func(waiting *packet) { waiting.Hello = &own })
				}
			}
		}
		if !d.leaving.Load() {
			d.heard.note(own, time.Now())
		}
		d.limits.SetLive(d.heard.live(time.Now()))
		pause(ctx, helloPeriod)
	}
}
