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
	// StepHeld says that the step has been in force for StepHoldTime.
	StepHeld bool `json:"held"`
	// MovesTried and MovesDenied count the requests that the step moved, or
	// was denied to move, since it came into force.
	MovesTried  int `json:"tried"`
	MovesDenied int `json:"denied"`
	// RegionLost says that a region that the host uses is lost.
	RegionLost bool        `json:"lost"`
	Routes     []RouteRate `json:"routes"`
	SlotUsages  []SlotUsage `json:"rooms"`
}

// RouteRate is the traffic of a route on one host, in requests per second.
type RouteRate struct {
	Route string  `json:"route"`
	Rate  float64 `json:"rate"`
}

// SlotUsage is the use of a service's slots in a region.
type SlotUsage struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Running is the number of requests that the host runs there.
	Running int `json:"running"`
	// Slots is the number of slots that the region has, over all hosts.
	Slots int `json:"slots"`
}

// Measurements holds the last reports of the hosts that the fleet lists.
type Measurements struct {
	// Hosts are the names of all listed hosts, with or without a report.
	Hosts   []string
	Reports []Report
}

// slotUsageKey identifies a service in a region.
type slotUsageKey struct {
	service string
	region  string
}

// routeKey identifies a route at the entry hosts of a region, or at all entry
// hosts if the origin is empty.
type routeKey struct {
	route  string
	origin string
}

// reportTotals holds the sums over the fresh reports.
type reportTotals struct {
	reports []Report
	// missingHost is the first listed host without a fresh report; empty if
	// there is none.
	missingHost string
	// rates are in requests per second.
	rates map[routeKey]float64
	slots map[slotUsageKey]SlotUsage
}

// totals adds up the reports of listed hosts that are at most MaxReportAge
// old.
func (m Measurements) totals(now time.Time) reportTotals {
	byHost := make(map[string]Report, len(m.Reports))
	for _, r := range m.Reports {
		if now.Sub(r.MeasuredAt) <= MaxReportAge {
			byHost[r.Host] = r
		}
	}
	result := reportTotals{
		rates: make(map[routeKey]float64),
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

func (s *reportTotals) add(report Report) {
	s.reports = append(s.reports, report)
	for _, r := range report.Routes {
		s.rates[routeKey{
			route: r.Route,
		}] += r.Rate
		if report.Region != "" {
			s.rates[routeKey{
				route:  r.Route,
				origin: report.Region,
			}] += r.Rate
		}
	}
	for _, r := range report.SlotUsages {
		key := slotUsageKey{
			service: r.Service,
			region:  r.Region,
		}
		sum := s.slots[key]
		sum.Running += r.Running
		sum.Slots = max(sum.Slots, r.Slots)
		s.slots[key] = sum
	}
}

// rate returns the requests per second of the route at the origin of the
// route plan.
func (s reportTotals) rate(r RoutePlan) float64 {
	return s.rates[routeKey{
		route:  r.Route,
		origin: r.Origin,
	}]
}

// slotUsage returns the use of the service's slots in the region.
func (s reportTotals) slotUsage(service, region string) SlotUsage {
	return s.slots[slotUsageKey{
		service: service,
		region:  region,
	}]
}
