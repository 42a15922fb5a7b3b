package steer

import "time"

// MaxReportAge is the age above which a report is ignored.
const MaxReportAge = 5 * time.Second

// Report holds the measurements of one entry host.
type Report struct {
	Host string `json:"host"`
	// Region is the host's own region.
	Region     string    `json:"region"`
	MeasuredAt time.Time `json:"taken"`
	// Step is the number of the plan in force on the host.
	Step uint64 `json:"step"`
	// StepHeld says that the step has been in force for StepHoldTime, or
	// changes no weights on the host.
	StepHeld bool `json:"held"`
	// MovesTried counts the requests that the step was to move since it came
	// into force, without those of evacuations. MovesDenied counts those that
	// got no token or found no free slot.
	MovesTried    int `json:"tried"`
	MovesRejected int `json:"denied"`
	// RegionLost says that a region that the host uses is lost.
	RegionLost bool        `json:"lost"`
	Routes     []RouteRate `json:"routes"`
	SlotUsages []SlotUsage `json:"rooms"`
}

// RouteRate is the traffic of a route on one host, in requests per second.
type RouteRate struct {
	Route string  `json:"route"`
	Rate  float64 `json:"rate"`
}

// SlotUsage is the use of the slots of a service's backend servers in a
// region.
type SlotUsage struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Running is the number of requests that the entry host has running
	// there.
	Running int `json:"running"`
	// Slots is the number of slots of all the service's backend servers in
	// the region.
	Slots int `json:"slots"`
}

// Measurements holds the latest reports of the entry hosts of the fleet.
type Measurements struct {
	// Hosts are the names of all entry hosts of the fleet, with or without a
	// report.
	Hosts   []string
	Reports []Report
}

// slotUsageKey identifies a service in a region.
type slotUsageKey struct {
	service string
	region  string
}

// routeRegion identifies a route together with a region. In
// reportTotals.rates the region is that of the entry hosts, or empty for the
// sum over all entry hosts; in routeChanges.regionGains it is the region that
// gains traffic.
type routeRegion struct {
	route  string
	region string
}

// reportTotals holds the sums over the fresh reports.
type reportTotals struct {
	reports []Report
	// missingHost is the first entry host of the fleet without a fresh
	// report; empty if there is none.
	missingHost string
	// rates are in requests per second.
	rates map[routeRegion]float64
	// slots has the requests running from all entry hosts.
	slots map[slotUsageKey]SlotUsage
}

// totals adds up the reports of hosts of the fleet that are at most
// MaxReportAge old.
func (m Measurements) totals(now time.Time) reportTotals {
	byHost := make(map[string]Report, len(m.Reports))
	for _, r := range m.Reports {
		if now.Sub(r.MeasuredAt) <= MaxReportAge {
			byHost[r.Host] = r
		}
	}
	result := reportTotals{
		rates: make(map[routeRegion]float64),
		slots: make(map[slotUsageKey]SlotUsage),
	}
	for _, name := range m.Hosts {
		r, found := byHost[name]
		if found {
			result.add(r)
			continue
		}
		if result.missingHost == "" {
			result.missingHost = name
		}
	}
	return result
}

func (t *reportTotals) add(report Report) {
	t.reports = append(t.reports, report)
	for _, r := range report.Routes {
		t.rates[routeRegion{
			route: r.Route,
		}] += r.Rate
		if report.Region != "" {
			t.rates[routeRegion{
				route:  r.Route,
				region: report.Region,
			}] += r.Rate
		}
	}
	for _, r := range report.SlotUsages {
		key := slotUsageKey{
			service: r.Service,
			region:  r.Region,
		}
		sum := t.slots[key]
		sum.Running += r.Running
		sum.Slots = max(sum.Slots, r.Slots)
		t.slots[key] = sum
	}
}

// rate returns the requests per second of the route at the origin of the
// route plan.
func (t reportTotals) rate(r RoutePlan) float64 {
	return t.rates[routeRegion{
		route:  r.Route,
		region: r.Origin,
	}]
}

// slotUsage returns the use of the service's slots in the region.
func (t reportTotals) slotUsage(service, region string) SlotUsage {
	return t.slots[slotUsageKey{
		service: service,
		region:  region,
	}]
}
