package daemon

import (
	"context"
	"sync"

	"trefoilline.example/trefoilline/steer"
)

// maxPlanCandidates is how many hosts try to acquire the lease of the plan. It is fixed,
// so that the calls to the store do not grow with the fleet.
const maxPlanCandidates = 2

// latestMeasurements holds the latest measurements of each host.
type latestMeasurements struct {
	mutex  sync.Mutex
	byHost map[string]steer.Report
}

// update replaces the measurements of a host, unless later ones are stored.
func (r *latestMeasurements) update(report steer.Report) {
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

// retain returns the measurements of the given hosts and removes those of all others.
func (r *latestMeasurements) retain(hosts []string) []steer.Report {
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

// nonDrainingHosts returns the names of the live hosts that are not draining.
func (d *daemon) nonDrainingHosts() []string {
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
// first maxPlanCandidates hosts in order of name that are live and not draining.
func (d *daemon) planCandidates() []string {
	names := d.nonDrainingHosts()
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

// sendMeasurements sends the measurements of this host to the hosts that may write
// the plan, every measurementInterval until the context ends.
func (d *daemon) sendMeasurements(ctx context.Context) {
	for ctx.Err() == nil {
		report := d.collectMeasurements()
		for _, name := range d.planCandidates() {
			if name == d.settings.Host {
				d.hostMeasurements.update(report)
				continue
			}
			d.batchSender.enqueue(name, func(pending *messageBatch) {
				pending.Report = &report
			})
		}
		sleep(ctx, measurementInterval)
	}
}

// measurements returns the input for the next plan: the live hosts that are not
// draining, and their latest measurements.
func (d *daemon) measurements() steer.Measurements {
	hosts := d.nonDrainingHosts()
	return steer.Measurements{
		Hosts:   hosts,
		Reports: d.hostMeasurements.retain(hosts),
	}
}
