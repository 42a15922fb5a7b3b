package placement

import (
	"maps"
	"time"
)

// slotTime estimates how long requests of a route occupy a slot.
type slotTime struct {
	// p20 estimates the 20th percentile of the samples, which is about the slot time of
	// a request whose affinity key the server has cached.
	p20 time.Duration
	// mean is the moving average of the samples.
	mean time.Duration
}

const (
	// warmQuantile is the quantile that slotTime.p20 estimates: the upper bound of the
	// fastest fifth.
	warmQuantile = 0.2
	// quantileStep is the step size of the estimator of slotTime.p20, relative to its
	// current value.
	quantileStep = 0.05
	// meanWeight is the weight of one sample in slotTime.mean.
	meanWeight = 0.1
)

// add updates the estimates with a sample.
func (t *slotTime) add(sample time.Duration) {
	if t.mean == 0 {
		t.p20, t.mean = sample, sample
		return
	}
	t.mean += time.Duration(meanWeight * float64(sample-t.mean))
	step := quantileStep * float64(t.p20)
	if sample < t.p20 {
		t.p20 -= time.Duration((1 - warmQuantile) * step)
	} else {
		t.p20 += time.Duration(warmQuantile * step)
	}
}

// KeepRoutes forgets the slot times of all other routes.
func (p *Pool) KeepRoutes(routes map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.slotTimes, func(route string, _ *slotTime) bool {
		_, isKept := routes[route]
		return !isKept
	})
}

// recordSlotTime adds the latency of a response, as an approximation of the slot time,
// to the estimates for its route. It ignores errors, responses from other regions, and
// responses from servers that had queued requests.
func (p *Pool) recordSlotTime(r *Reservation, o Responded) {
	if o.ServerError || r.Server.Region != p.Region || r.aboveSlots || o.Load != nil && o.Load.Queued > 0 {
		return
	}
	if p.slotTimes == nil {
		p.slotTimes = make(map[string]*slotTime)
	}
	t, known := p.slotTimes[r.route]
	if !known {
		t = &slotTime{}
		p.slotTimes[r.route] = t
	}
	t.add(o.Latency)
}
