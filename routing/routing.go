/*
Package routing holds the configuration in force on an entry host. When a request arrives,
the host looks up here which route matches it, which team its API key belongs to, and
which limits apply. A configuration is immutable; a host replaces it as a whole and only
by a newer version.

# Usage

	index := routing.NewIndex(configuration)
	route, found := index.Route("shop.example", "/orders/17")
	team, known := index.TeamByKey("the caller's key")

The configuration comes from the operators; package platform decodes it from the
platform's store. Durations are [time.Duration], sizes are in bytes, rates in requests per
second.
*/
package routing

import (
	"slices"
	"time"
)

// Version is the version number of a configuration. A higher number is newer; zero means
// no configuration.
type Version uint64

// RetryPolicy says whether a request of a route may run more than once.
type RetryPolicy string

// The retry policies.
const (
	// AtMostOnce: a caller's request is run by at most one backend server, and only
	// once.
	AtMostOnce RetryPolicy = "once"
	// Idempotent: a caller's request may run any number of times.
	Idempotent RetryPolicy = "idempotent"
)

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  Version   `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Limits   Limits    `json:"limits"`
}

// Route matches requests by host name and path prefix, and names the services that serve
// them.
type Route struct {
	Name string `json:"name"`
	// Host is the host name that callers address, without a port. Its case does
	// not matter.
	Host string `json:"host"`
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix      string      `json:"prefix"`
	RetryPolicy RetryPolicy `json:"repeat"`
	// Timeout is the longest time that a caller waits for the response, retries
	// included.
	Timeout time.Duration `json:"timeout"`
	// LatencyTarget is the target latency of responses. Later responses are worth less
	// to the caller.
	LatencyTarget time.Duration `json:"target"`
	// Priority is the priority of the requests; zero is the highest.
	Priority int `json:"priority"`
	// Destinations holds the services that the requests are divided over; one or
	// more.
	Destinations []Destination `json:"destinations"`
	// MaxServers is the maximum number of backend servers that may run one request.
	// Servers that were sent the request but certainly did not run it do not count.
	// AtMostOnce requests are not sent again once a server may have run them.
	MaxServers int `json:"max-servers"`
	// Public routes need no API key.
	Public bool `json:"open,omitempty"`
	// Affinity means that a backend server responds faster for affinity keys that it
	// has handled recently, so requests with the same affinity key should go to the
	// same servers.
	Affinity bool `json:"affinity,omitempty"`
	// Regions lists the regions that may serve the route; all if empty.
	Regions []string `json:"regions,omitempty"`
}

// Destination is a service that receives part of a route's requests.
type Destination struct {
	Service string `json:"service"`
	// Weight is relative to the weights of the other destinations.
	Weight float64 `json:"weight"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check.
	HealthPath string `json:"health-path"`
	// MaxConnections is how many connections one backend server accepts.
	MaxConnections int `json:"max-connections"`
	// ColdTime is how long a backend server is cold after its start. During that
	// time it accepts requests only at ColdRate.
	ColdTime time.Duration `json:"cold-time"`
	// ColdRate is how many requests per second a cold backend server accepts
	// from all hosts together; zero means no limit.
	ColdRate float64 `json:"cold-rate"`
}

// Team is a group of callers with common API keys and a common rate.
type Team struct {
	Name string `json:"name"`
	// Keys holds the team's API keys.
	Keys []string `json:"keys"`
	// Priority overrides the priority of the route, if it is set.
	Priority *int `json:"priority,omitempty"`
	// Rate is the limit in requests per second over all hosts; zero means no limit.
	Rate float64 `json:"rate"`
	// Burst is how many requests the team may send at once on top of the rate.
	Burst float64 `json:"burst"`
	// Regions lists the regions that may serve the team; all if empty.
	Regions []string `json:"regions,omitempty"`
}

// Limits holds the limits on what a caller sends. Sizes are in bytes.
type Limits struct {
	MaxHeaderBytes int   `json:"header-bytes"`
	MaxBodyBytes   int64 `json:"body-bytes"`
	// HeaderTimeout is the longest time in which a caller may send the headers.
	HeaderTimeout time.Duration `json:"header-timeout"`
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration `json:"idle-timeout"`
}

// AllowsRegion reports whether a list of allowed regions contains the region. An empty
// list allows all regions.
func AllowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
