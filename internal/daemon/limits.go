package daemon

import (
	"strconv"
	"time"

	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/streamproxy"
	"trefoilline.example/trefoilline/table"
)

// maxSlotRecoveryDelay limits how long a lost host's slots stay unused if requests may
// run for longer than that.
const maxSlotRecoveryDelay = 10 * time.Second

// perMille converts a share from 0 to 1 to thousandths.
const perMille = 1000

// refreshLimits sets the fleet-wide limits from the table and the list of backend
// servers.
func (d *daemon) refreshLimits() {
	snapshot := d.snapshots.Current()
	machines := d.machines.Load()
	if snapshot == nil || machines == nil {
		return
	}
	limits := teamLimits(snapshot.Table.Teams)
	limits = append(limits, steer.FleetLimits(snapshot.Table, machines.backendServers, d.slotRecoveryDelay())...)
	d.limiter.SetLimits(limits)
}

// reportLimiterState sets the gauges of the allocation and of this host's share of each
// team's rate. The gauge limits/holders is the number of processes that hold shares. It
// also reports new violations of the limiter's invariants, with their total since the
// start.
func (d *daemon) reportLimiterState() {
	epochStatus := d.limiter.EpochStatus()
	d.metrics.SetGauge("limits/epoch", int64(epochStatus.Epoch))
	d.metrics.SetGauge("limits/holders", int64(epochStatus.Members))
	if violations := d.limiter.ViolationCount(); violations > d.reportedLimiterViolations {
		d.reportedLimiterViolations = violations
		d.reportViolation("limits", strconv.FormatUint(violations, 10))
	}
	snapshot := d.snapshots.Current()
	if snapshot == nil {
		return
	}
	for _, t := range snapshot.Table.Teams {
		limitStatus := d.limiter.LimitStatus(streamproxy.TeamLimitName(t.Name))
		name := d.metrics.TeamLabel(t.Name)
		d.metrics.SetGauge("limits/tokens/"+name, int64(limitStatus.Available))
		d.metrics.SetGauge("limits/part-permille/"+name, int64(limitStatus.Share*perMille))
	}
}

// teamLimits returns a rate limit for each team.
func teamLimits(teams []table.Team) []globallimit.Limit {
	limits := make([]globallimit.Limit, 0, len(teams))
	for _, t := range teams {
		limits = append(limits, globallimit.Limit{
			Name: streamproxy.TeamLimitName(t.Name),
			Kind: globallimit.Rate{
				PerSecond: t.Rate,
				Burst:     t.Burst,
			},
		})
	}
	return limits
}

// slotRecoveryDelay is how long the slots of a lost host stay unused before other hosts
// get them. By then the requests of a crashed host have ended, because its connections
// closed. Only a host that is partitioned from the fleet, but still reaches backend
// servers, may run a request for longer; the slot of that request may then be used twice.
func (d *daemon) slotRecoveryDelay() time.Duration {
	return min(maxSlotRecoveryDelay, d.settings.MaxRequestTimeout)
}

// serviceRegion is a service in one of its regions.
type serviceRegion struct {
	service string
	region  string
}

// serviceRegions returns each pair of a service and a region to which the table's routes
// send requests of the service.
func (d *daemon) serviceRegions(current *table.Table) []serviceRegion {
	seen := make(map[serviceRegion]bool)
	var pairs []serviceRegion
	for _, r := range current.Routes {
		for _, w := range r.Weights {
			p := serviceRegion{
				service: r.Service,
				region:  w.Region,
			}
			if !seen[p] {
				seen[p] = true
				pairs = append(pairs, p)
			}
		}
	}
	return pairs
}
