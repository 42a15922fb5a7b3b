package daemon

import (
	"sync"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// perMille is the whole in thousandths.
const perMille = 1000

// refreshLimits derives the fleet-wide limits from the table and the list of
// backend servers.
func (d *daemon) refreshLimits() {
	snapshot := d.tables.Current()
	list := d.machines.Load()
	if snapshot == nil || list == nil {
		return
	}
	limits := teamLimits(snapshot.Table.Teams)
	limits = append(limits, linkLimits(snapshot.Table.Links)...)
	limits = append(limits, d.slotLimits(list.backends)...)
	d.limits.SetLimits(limits)
}

// measureLimits shows what this host holds of each team's rate.
func (d *daemon) measureLimits() {
	status := d.limits.Status()
	d.measures.Gauge("limits/epoch", int64(status.Epoch))
	d.measures.Gauge("limits/holders", int64(status.Holders))
	snapshot := d.tables.Current()
	if snapshot == nil {
		return
	}
	for _, t := range snapshot.Table.Teams {
		spare := d.limits.Spare(entry.TeamLimit(t.Name))
		name := d.measures.Team(t.Name)
		d.measures.Gauge("limits/tokens/"+name, int64(spare.Tokens))
		d.measures.Gauge("limits/part-permille/"+name, int64(spare.Part*perMille))
	}
}

// teamLimits are the teams' rates and bursts.
func teamLimits(teams []table.Team) []share.Limit {
	limits := make([]share.Limit, 0, len(teams))
	for _, t := range teams {
		limits = append(limits, rateLimit(entry.TeamLimit(t.Name), t.Rate, t.Burst))
	}
	return limits
}

// linkLimits are what may cross between two regions, and what changes of
// weights may move. The cap on moves allows one second's worth at once.
func linkLimits(links []table.Link) []share.Limit {
	limits := make([]share.Limit, 0, 2*len(links))
	for _, l := range links {
		limits = append(limits,
			rateLimit(steer.LinkLimit(l.From, l.To), l.Rate, l.Burst),
			rateLimit(steer.ShiftLimit(l.From, l.To), l.ShiftCap, l.ShiftCap))
	}
	return limits
}

func rateLimit(name string, rate, burst float64) share.Limit {
	return share.Limit{
		Name: name,
		Kind: share.Rate{
			PerSecond: rate,
			Burst:     burst,
		},
	}
}

// slotLimits are the slots of each service in each region.
func (d *daemon) slotLimits(servers []platform.Machine) []share.Limit {
	var limits []share.Limit
	index := make(map[string]int)
	for _, m := range servers {
		name := backend.SlotLimit(m.Service, m.Region)
		i, known := index[name]
		if !known {
			i = len(limits)
			index[name] = i
			limits = append(limits, share.Limit{
				Name: name,
			})
		}
		before, _ := limits[i].Kind.(share.Slots)
		limits[i].Kind = share.Slots{
			Count:   before.Count + float64(m.Slots),
			Longest: d.settings.RequestDeadline,
		}
	}
	return limits
}

// tokens lets the router take from the fleet-wide limits.
type tokens struct {
	limits *share.Holder
}

// Take takes tokens of the named limit. Regions without a link between them
// have no limit, and nothing passes.
func (t *tokens) Take(name string, count float64) steer.Taken {
	switch d := t.limits.Take(name, count).(type) {
	case share.Granted:
		return steer.Granted{}
	case share.Refused:
		return steer.Denied{
			RetryAfter: d.Retry,
		}
	default:
		return steer.Denied{}
	}
}

// slots lets the pool take this host's part of a region's slots.
type slots struct {
	limits *share.Holder
	mutex  sync.Mutex
	// taken holds the grants of each limit that requests use now.
	taken map[string][]share.Grant
}

// Acquire takes one slot if this host holds a free one.
func (s *slots) Acquire(service, region string) bool {
	name := backend.SlotLimit(service, region)
	granted, ok := s.limits.Take(name, 1).(share.Granted)
	if !ok {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.taken == nil {
		s.taken = make(map[string][]share.Grant)
	}
	s.taken[name] = append(s.taken[name], granted.Grant)
	return true
}

// Release gives the oldest slot back: which request held it makes no
// difference to the limit.
func (s *slots) Release(service, region string) {
	name := backend.SlotLimit(service, region)
	s.mutex.Lock()
	grants := s.taken[name]
	if len(grants) == 0 {
		s.mutex.Unlock()
		return
	}
	grant := grants[0]
	s.taken[name] = grants[1:]
	s.mutex.Unlock()
	s.limits.Release(grant)
}

// servicePlace is a service in a region.
type servicePlace struct {
	service string
	region  string
}

// places returns each service in each region where the table sends it.
func (d *daemon) places(current *table.Table) []servicePlace {
	seen := make(map[servicePlace]bool)
	var places []servicePlace
	for _, r := range current.Routes {
		for _, w := range r.Weights {
			p := servicePlace{
				service: r.Service,
				region:  w.Region,
			}
			if !seen[p] {
				seen[p] = true
				places = append(places, p)
			}
		}
	}
	return places
}
