package steer

import "time"

// MaxReportAge is the age above which a report says nothing any more.
const MaxReportAge = 5 * time.Second

// Report is what one entry host measured.
type Report struct {
	Host string `json:"host"`
	// Region is the host's own region.
	Region     string    `json:"region"`
	MeasuredAt time.Time `json:"taken"`
	// Step is the step of the plan that is in force on the host.
	Step uint64 `json:"step"`
	// StepHeld says that it has been in force for Hold.
	StepHeld bool `json:"held"`
	// MovesTried and Denied count the step's moves since it is in force.
	MovesTried  int `json:"tried"`
	MovesDenied int `json:"denied"`
	// WaitingForLostRegion says that the host finds a region lost.
	RegionLost bool        `json:"lost"`
	Routes     []RouteRate `json:"routes"`
	SlotUsages []SlotUsage `json:"rooms"`
}

// RouteRate is the traffic of a route on one host, in requests per second.
type RouteRate struct {
	Route string  `json:"route"`
	Rate  float64 `json:"rate"`
}

// SlotUsages is the use of a service's slots in a region.
type SlotUsage struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Running is how many requests the host runs there.
	Running int `json:"running"`
	// Slots is how many slots the region has, over all hosts.
	Slots int `json:"slots"`
}

// Measurements are the last reports of the hosts that the fleet lists.
type Measurements struct {
	// Hosts are the names of all listed hosts, with or without a report.
	Hosts   []string
	Reports []Report
}

// roomKey is a service in a region.
type roomKey struct {
	service string
	region  string
}

// routeKey is a route at the entry hosts of a region, or at all if the origin is
// empty.
type routeKey struct {
	route  string
	origin string
}

// sums is what the fresh reports say in all.
type sums struct {
	reports []Report
	// missing is the first listed host without a fresh report, if any.
	missing string
	// rates are in requests per second.
	rates map[routeKey]float64
	rooms map[roomKey]SlotUsage
}

// sum adds up the reports of listed hosts that still say something.
func (m Measurements) sum(now time.Time) sums {
	byHost := make(map[string]Report, len(m.Reports))
	for _, r := range m.Reports {
		if now.Sub(r.MeasuredAt) <= MaxReportAge {
			byHost[r.Host] = r
		}
	}
	s := sums{
		rates: make(map[routeKey]float64),
		rooms: make(map[roomKey]SlotUsage),
	}
	for _, name := range m.Hosts {
		r, found := byHost[name]
		if found {
			s.add(r)
			continue
		}
		if s.missing == "" {
			s.missing = name
		}
	}
	return s
}

func (s *sums) add(report Report) {
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
		key := roomKey{
			service: r.Service,
			region:  r.Region,
		}
		sum := s.rooms[key]
		sum.Running += r.Running
		sum.Slots = max(sum.Slots, r.Slots)
		s.rooms[key] = sum
	}
}

// rate returns the requests per second of the route at the origin.
func (s sums) rate(r RoutePlan) float64 {
	return s.rates[routeKey{
		route:  r.Route,
		origin: r.Origin,
	}]
}

// room returns the use of the service's slots in the region.
func (s sums) room(service, region string) SlotUsage {
	return s.rooms[roomKey{
		service: service,
		region:  region,
	}]
}
