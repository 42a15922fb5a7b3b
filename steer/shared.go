package steer

import (
	"maps"
	"slices"
	"time"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// SharedLimiter implements [Limiter] with this host's limiter of package
// share, which divides the limits among all entry hosts.
type SharedLimiter struct {
	Limiter *globallimit.Limiter
}

// Take takes tokens from this host's part of the limit. A limit that the
// table lacks denies all requests, since nothing may cross between regions
// without a link.
func (s SharedLimiter) Take(name string, count float64) TakeResult {
	switch decision := s.Limiter.Acquire(name, count).(type) {
	case globallimit.Granted:
		return Granted{}
	case globallimit.Rejected:
		return Rejected{
			RetryAfter: decision.RetryAfter,
		}
	default:
		return Rejected{}
	}
}

// FleetLimits returns the limits of the links, of the shift caps and of the
// regions' slots. The maxRunTime is how long a request may run on a backend
// server.
func FleetLimits(t table.Table, machines []objectstore.Machine, maxRunTime time.Duration) []globallimit.Limit {
	limits := make([]globallimit.Limit, 0, 2*len(t.Links))
	for _, l := range t.Links {
		limits = append(limits, rateLimit(LinkLimitName(l.From, l.To), l.Rate, l.Burst))
		limits = append(limits, rateLimit(ShiftLimitName(l.From, l.To), l.MaxShiftRate, l.MaxShiftRate*ShiftBurstTime.Seconds()))
	}
	return append(limits, slotLimits(machines, maxRunTime)...)
}

func rateLimit(name string, perSecond, burst float64) globallimit.Limit {
	return globallimit.Limit{
		Name: name,
		Kind: globallimit.Rate{
			PerSecond: perSecond,
			Burst:     max(burst, 1),
		},
	}
}

// slotLimits adds up the slots of the live backend servers by service and
// region.
func slotLimits(machines []objectstore.Machine, maxRunTime time.Duration) []globallimit.Limit {
	counts := make(map[string]int)
	for _, m := range machines {
		if m.Kind == objectstore.BackendServer && m.State == objectstore.Live {
			counts[backend.SlotLimitName(m.Service, m.Region)] += m.Slots
		}
	}
	limits := make([]globallimit.Limit, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		limits = append(limits, globallimit.Limit{
			Name: name,
			Kind: globallimit.Slots{
				Count:       float64(counts[name]),
				MaxDuration: maxRunTime,
			},
		})
	}
	return limits
}
