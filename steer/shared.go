package steer

import (
	"maps"
	"slices"
	"time"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/table"
)

// SharedLimits is the [Limits] that the host's holder has a part of.
type SharedLimits struct {
	Holder *share.Limiter
}

// Take takes tokens from the holder. A limit that the table lacks denies all,
// since nothing may cross where there is no link.
func (s SharedLimits) Take(name string, count float64) TakeResult {
	switch d := s.Holder.Acquire(name, count).(type) {
	case share.Granted:
		return Granted{}
	case share.Refused:
		return Denied{
			RetryAfter: d.RetryAfter,
		}
	default:
		return Denied{}
	}
}

// FleetLimits returns the limits of the links, the shift caps and the regions'
// slots. The longest is how long a request may run on a backend server.
func FleetLimits(t table.Table, machines []objectstore.Machine, longest time.Duration) []share.Limit {
	limits := make([]share.Limit, 0, 2*len(t.Links))
	for _, l := range t.Links {
		limits = append(limits, rateLimit(LinkLimitName(l.From, l.To), l.Rate, l.Burst))
		limits = append(limits, rateLimit(ShiftLimitName(l.From, l.To), l.ShiftCap, l.ShiftCap*ShiftBurstTime.Seconds()))
	}
	return append(limits, slotLimits(machines, longest)...)
}

func rateLimit(name string, perSecond, burst float64) share.Limit {
	return share.Limit{
		Name: name,
		Kind: share.Rate{
			PerSecond: perSecond,
			Burst:     max(burst, 1),
		},
	}
}

// slotLimits adds up the slots of the servers that are not leaving.
func slotLimits(machines []objectstore.Machine, longest time.Duration) []share.Limit {
	counts := make(map[string]int)
	for _, m := range machines {
		if m.Kind == objectstore.BackendServer && m.State == objectstore.Live {
			counts[backend.SlotLimit(m.Service, m.Region)] += m.Slots
		}
	}
	limits := make([]share.Limit, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		limits = append(limits, share.Limit{
			Name: name,
			Kind: share.Slots{
				Count:       float64(counts[name]),
				MaxDuration: longest,
			},
		})
	}
	return limits
}
