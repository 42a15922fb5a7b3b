/*
Package routing is the configuration of a deployment in force: which services a
request may go to, whose keys are good, and what the teams and callers are
allowed. A configuration is immutable; hosts replace it as a whole and only by a
newer version.

# Usage

	index := routing.NewIndex(configuration)
	route, found := index.Route("shop.example", "/orders/17")
	team, known := index.Team("the caller's key")

The configuration comes from the operators' edits, as an adapter decodes them.
Times are [time.Duration], sizes are in bytes, rates in requests per second.
*/
package routing

import (
	"slices"
	"time"
)

// Version numbers configurations; a higher one is newer. Zero is no version.
type Version uint64

// RetryPolicy says how often a request of a route may run.
type RetryPolicy string

// The ways to repeat a request.
const (
	// AtMostOnce: at most once for each request of a caller.
	AtMostOnce RetryPolicy = "once"
	// Idempotent: any number of times.
	Idempotent RetryPolicy = "idempotent"
)

// Configuration is one version of what the operators have set.
type Configuration struct {
	Version  Version   `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Limits   Limits    `json:"limits"`
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix      string      `json:"prefix"`
	RetryPolicy RetryPolicy `json:"repeat"`
	// Timeout is the longest that a caller waits for the final answer.
	Timeout time.Duration `json:"timeout"`
	// LatencyTarget is the time within which an answer has its full worth.
	LatencyTarget time.Duration `json:"target"`
	// Priority is the rank of the route; zero is the highest.
	Priority int `json:"priority"`
	// Destinations are the services by weight; one or more.
	Destinations []Destination `json:"destinations"`
	// MaxServers is how many backend servers one request may meet.
	MaxServers int `json:"max-servers"`
	// Public routes need no key.
	Public bool `json:"open,omitempty"`
	// Affinity tells that a backend server is faster with objects that it
	// handled lately.
	Affinity bool `json:"affinity,omitempty"`
	// Regions are those that may serve the route; all if empty.
	Regions []string `json:"regions,omitempty"`
}

// Destination is a part of a route's requests.
type Destination struct {
	Service string `json:"service"`
	// Weight is relative to those of the other destinations.
	Weight float64 `json:"weight"`
}

// Service is a group of equal backend servers.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health-path"`
	// MaxConnections is how many connections one backend server accepts.
	MaxConnections int `json:"max-connections"`
	// ColdTime is how long a backend server is cold after its start.
	ColdTime time.Duration `json:"cold-time"`
	// ColdRate is how many requests per second a cold backend server takes
	// from all hosts together; zero is no bound.
	ColdRate float64 `json:"cold-rate"`
}

// Team is a caller with keys and a rate.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority goes before that of the route, if it is set.
	Priority *int `json:"priority,omitempty"`
	// Rate is in requests per second over all hosts; zero is no bound.
	Rate float64 `json:"rate"`
	// Burst is how many requests may come on top of the rate at once.
	Burst float64 `json:"burst"`
	// Regions are those that may serve the team; all if empty.
	Regions []string `json:"regions,omitempty"`
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int           `json:"header-bytes"`
	MaxBodyBytes   int64         `json:"body-bytes"`
	HeaderTimeout  time.Duration `json:"header-timeout"`
	IdleTimeout    time.Duration `json:"idle-timeout"`
}

// AllowsRegion tells whether a list of regions, in which none means all, has the
// region.
func AllowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
