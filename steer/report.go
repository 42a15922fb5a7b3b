package steer

import "time"

// ReportLife is the age above which a report says nothing any more.
const ReportLife = 5 * time.Second

// Report is what one entry host measured.
type Report struct {
	Host  string    `json:"host"`
	Taken time.Time `json:"taken"`
	// Step is the step of the plan that is in force on the host.
	Step uint64 `json:"step"`
	// Held says that it has been in force for Hold.
	Held bool `json:"held"`
	// Tried and Denied count the step's moves since it is in force.
	Tried  int `json:"tried"`
	Denied int `json:"denied"`
	// Lost says that the host finds a region lost.
	Lost   bool        `json:"lost"`
	Routes []RouteRate `json:"routes"`
	Rooms  []Room      `json:"rooms"`
}

// RouteRate is the traffic of a route on one host, in requests per second.
type RouteRate struct {
	Route string  `json:"route"`
	Rate  float64 `json:"rate"`
}

// Room is the use of a service's slots in a region.
type Room struct {
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

// fresh returns the reports of listed hosts that still say something, and the
// first listed host that has none, if any.
func (m Measurements) fresh(now time.Time) ([]Report, string) {
	byHost := make(map[string]Report, len(m.Reports))
	for _, r := range m.Reports {
		if now.Sub(r.Taken) <= ReportLife {
			byHost[r.Host] = r
		}
	}
	reports := make([]Report, 0, len(byHost))
	missing := ""
	for _, name := range m.Hosts {
		r, found := byHost[name]
		if found {
			reports = append(reports, r)
			continue
		}
		if missing == "" {
			missing = name
		}
	}
	return reports, missing
}

// rate returns the route's requests per second over the reports.
func rate(reports []Report, route string) float64 {
	sum := 0.0
	for _, report := range reports {
		for _, r := range report.Routes {
			if r.Route == route {
				sum += r.Rate
			}
		}
	}
	return sum
}

// room returns the use of the service's slots in the region over the reports.
func room(reports []Report, service, region string) Room {
	sum := Room{
		Service: service,
		Region:  region,
	}
	for _, report := range reports {
		for _, r := range report.Rooms {
			if r.Service == service && r.Region == region {
				sum.Running += r.Running
				sum.Slots = max(sum.Slots, r.Slots)
			}
		}
	}
	return sum
}
