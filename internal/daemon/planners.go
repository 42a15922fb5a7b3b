package daemon

import (
	"context"
	"sync"

	"trefoilline.example/trefoilline/steer"
)

// maxPlanCandidates is how many hosts try to acquire the lease of the plan. It is fixed,
// so that the calls to the store do not grow with the fleet.
const maxPlanCandidates = 2

// latestReports holds the latest report of each host.
type latestReports struct {
	mutex  sync.Mutex
	byHost map[string]steer.Report
}

// update replaces the report of a host, unless it has a later one.
func (r *latestReports) update(report steer.Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.byHost == nil {
		r.byHost = make(map[string]steer.Report)
	}
	if previous, known := r.byHost[report.Host]; known && previous.MeasuredAt.After(report.MeasuredAt) {
		return
	}
	r.byHost[report.Host] = report
}

// retain returns the reports of the given hosts and removes those of all others.
func (r *latestReports) retain(hosts []string) []steer.Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := make(map[string]steer.Report, len(hosts))
	var found []steer.Report
	for _, h := range hosts {
		if report, known := r.byHost[h]; known {
			kept[h] = report
			found = append(found, report)
		}
	}
	r.byHost = kept
	return found
}

// activeHosts returns the names of the live hosts that are not draining.
func (d *daemon) activeHosts() []string {
	liveHosts := d.liveHosts.Load()
	if liveHosts == nil {
		return nil
	}
	var names []string
	for _, member := range *liveHosts {
		if !member.Draining {
			names = append(names, member.Name)
		}
	}
	return names
}

// planCandidates returns the names of the hosts that may write the plan, which are the
// first maxPlanCandidates active hosts in order of name.
func (d *daemon) planCandidates() []string {
	names := d.activeHosts()
	return names[:min(len(names), maxPlanCandidates)]
}

// isPlanCandidate reports whether this host may write the plan.
func (d *daemon) isPlanCandidate() bool {
	for _, name := range d.planCandidates() {
		if name == d.settings.Host {
			return true
		}
	}
	return false
}

// reportToPlanCandidates sends the measurements of this host to the hosts that may write
// the plan, every reportInterval until the context ends.
func (d *daemon) reportToPlanCandidates(ctx context.Context) {
	for ctx.Err() == nil {
		report := d.collectReport()
		for _, name := range d.planCandidates() {
			if name == d.settings.Host {
				d.measurementReports.update(report)
				continue
			}
			d.peerSender.enqueue(name, func(pending *messageBatch) {
				pending.Report = &report
			})
		}
		sleep(ctx, reportInterval)
	}
}

// measurements returns the input for the next plan: the active hosts and their latest
// reports.
func (d *daemon) measurements() steer.Measurements {
	hosts := d.activeHosts()
	return steer.Measurements{
		Hosts:   hosts,
		Reports: d.measurementReports.retain(hosts),
	}
}
