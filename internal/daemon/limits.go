package daemon

import (
	"strconv"
	"time"

	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// maxSlotHold bounds the time for which a lost host's slots stay unused.
const maxSlotHold = 10 * time.Second

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
	limits = append(limits, steer.FleetLimits(snapshot.Table, list.backends, d.slotHold())...)
	d.limits.SetLimits(limits)
}

// measureLimits shows what this host holds of each team's rate.
func (d *daemon) measureLimits() {
	status := d.limits.EpochStatus()
	d.measures.SetGauge("limits/epoch", int64(status.Epoch))
	d.measures.SetGauge("limits/holders", int64(status.Members))
	if found := d.limits.Violations(); found > d.limitFaults {
		d.limitFaults = found
		d.violated("limits", strconv.FormatUint(found, 10))
	}
	snapshot := d.tables.Current()
	if snapshot == nil {
		return
	}
	for _, t := range snapshot.Table.Teams {
		spare := d.limits.LimitStatus(entry.TeamLimit(t.Name))
		name := d.measures.TeamLabel(t.Name)
		d.measures.SetGauge("limits/tokens/"+name, int64(spare.Available))
		d.measures.SetGauge("limits/part-permille/"+name, int64(spare.Share*perMille))
	}
}

// teamLimits are the teams' rates and bursts.
func teamLimits(teams []table.Team) []share.Limit {
	limits := make([]share.Limit, 0, len(teams))
	for _, t := range teams {
		limits = append(limits, share.Limit{
			Name: entry.TeamLimit(t.Name),
			Kind: share.Rate{
				PerSecond: t.Rate,
				Burst:     t.Burst,
			},
		})
	}
	return limits
}

// slotHold is how long a lost host's slots stay unused. A host that died has its
// requests cancelled with its connections; only one that is cut off from the
// fleet and still served by backend servers may run a request for longer.
func (d *daemon) slotHold() time.Duration {
	return min(maxSlotHold, d.settings.RequestDeadline)
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
