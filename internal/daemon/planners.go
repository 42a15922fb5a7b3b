package daemon

import (
	"context"
	"sync"

	"trefoilline.example/trefoilline/steer"
)

// planCandidates is how many hosts try to take the lease of the plan, so that
// the calls to the store do not grow with the fleet.
const planCandidates = 2

// reports keeps the last report of each host.
type reports struct {
	mutex sync.Mutex
	last  map[string]steer.Report
}

func (r *reports) take(report steer.Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.last == nil {
		r.last = make(map[string]steer.Report)
	}
	if before, known := r.last[report.Host]; known && before.MeasuredAt.After(report.MeasuredAt) {
		return
	}
	r.last[report.Host] = report
}

// of returns the reports of the hosts, and forgets those of others.
func (r *reports) of(hosts []string) []steer.Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := make(map[string]steer.Report, len(hosts))
	var found []steer.Report
	for _, h := range hosts {
		if report, known := r.last[h]; known {
			kept[h] = report
			found = append(found, report)
		}
	}
	r.last = kept
	return found
}

// working returns the names of the hosts that live and are not leaving.
func (d *daemon) working() []string {
	members := d.members.Load()
	if members == nil {
		return nil
	}
	var names []string
	for _, m := range *members {
		if !m.Draining {
			names = append(names, m.Name)
		}
	}
	return names
}

// planners returns the hosts that may write the plan: the first by name.
func (d *daemon) planners() []string {
	names := d.working()
	return names[:min(len(names), planCandidates)]
}

// isPlanCandidate reports whether this host may write the plan.
func (d *daemon) isPlanCandidate() bool {
	for _, name := range d.planners() {
		if name == d.settings.Host {
			return true
		}
	}
	return false
}

// reportToPlanners tells the hosts that may write the plan what this one
// measured, until the context ends.
func (d *daemon) reportToPlanners(ctx context.Context) {
	for ctx.Err() == nil {
		report := d.report()
		for _, name := range d.planners() {
			if name == d.settings.Host {
				d.reports.take(report)
				continue
			}
			d.peers.send(name, func(waiting *packet) {
				waiting.Report = &report
			})
		}
		pause(ctx, reportPeriod)
	}
}

// measurements returns what the writer of the plan goes by.
func (d *daemon) measurements() steer.Measurements {
	hosts := d.working()
	return steer.Measurements{
		Hosts:   hosts,
		Reports: d.reports.of(hosts),
	}
}
