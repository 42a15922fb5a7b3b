package placement

import "time"

// work is what is known of the time that requests of a route take.
type work struct {
	// low is near the time of the fastest fifth: requests for warm objects, when
	// nothing waits.
	low time.Duration
	// mean is the recent mean.
	mean time.Duration
}

// How estimates follow new samples.
const (
	lowQuantile = 0.2
	lowStep     = 0.05
	meanWeight  = 0.1
)

func (w *work) add(took time.Duration) {
	if w.mean == 0 {
		w.low, w.mean = took, took
		return
	}
	w.mean += time.Duration(meanWeight * float64(took-w.mean))
	step := lowStep * float64(w.low)
	if took < w.low {
		w.low -= time.Duration((1 - lowQuantile) * step)
	} else {
		w.low += time.Duration(lowQuantile * step)
	}
}

// learn takes how long an answer of this region took, if the request did not wait
// at the server.
func (p *Pool) learn(r *Reservation, e Responded) {
	if e.ServerError || r.Server.Region != p.Region || r.crowded || e.Load != nil && e.Load.Queued > 0 {
		return
	}
	if p.works == nil {
		p.works = make(map[string]*work)
	}
	w, known := p.works[r.route]
	if !known {
		w = &work{}
		p.works[r.route] = w
	}
	w.add(e.Latency)
}
