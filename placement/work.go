package placement

import "time"

// slotTime estimates how long requests of a route occupy a slot.
type slotTime struct {
	// fast estimates the time of the fastest fifth of the samples (lowQuantile), which
	// are requests whose affinity key the server has cached.
	fast time.Duration
	// mean is the moving average of the samples.
	mean time.Duration
}

const (
	// lowQuantile is the quantile that slotTime.fast estimates.
	lowQuantile = 0.2
	// quantileStep is how far a sample moves slotTime.fast, relative to its value.
	quantileStep = 0.05
	// meanWeight is the weight of one sample in slotTime.mean.
	meanWeight = 0.1
)

// add updates the estimates with a sample.
func (t *slotTime) add(sample time.Duration) {
	if t.mean == 0 {
		t.fast, t.mean = sample, sample
		return
	}
	t.mean += time.Duration(meanWeight * float64(sample-t.mean))
	step := quantileStep * float64(t.fast)
	if sample < t.fast {
		t.fast -= time.Duration((1 - lowQuantile) * step)
	} else {
		t.fast += time.Duration(lowQuantile * step)
	}
}

// recordSlotTime adds the latency of a response to the slot times of its route. It
// ignores errors, responses from other regions, and responses from servers that had more
// requests than slots.
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
