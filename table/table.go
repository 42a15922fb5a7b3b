/*
Package table parses, validates, publishes and loads the routing table that
operators maintain: the routes, each route's weights per region, the rate limits
of teams, the limits on traffic between regions, scheduled drains of regions,
and the client blocks (address prefixes of clients) that belong to each region.

Entry hosts load the table in the background, from the object store or from
other hosts, and keep it in memory; no request waits for the store.

Operators edit the table as a CSV file and publish it as a new version. A
published version is immutable: it is stored as parts whose keys are the hashes
of their content, and a single object, the head, names the current version. A
reader therefore sees a complete version or none, and two operators cannot
overwrite each other's edits unnoticed.

# Usage

	edited, err := table.ParseCSV(file)
	if err != nil {
		return err // lists each invalid cell and the values accepted there
	}
	publisher := table.Publisher{
		Store: store,
	}
	result, err := publisher.Publish(ctx, table.Edit{
		ID:    "2027-01-31 drain of accra",
		Base:  edited.Version,
		Table: edited,
	})

A host loads versions and keeps the highest one:

	snapshot, err := reader.Load(ctx, store) // or any other Getter, such as a peer's Snapshot
	if err == nil {
		tracker.Update(snapshot)
	}
	current := tracker.Current().Table
*/
package table

import (
	"net/netip"
	"time"
)

// Version is the number of a published table, counted from 1. Zero means that no
// table has been published.
type Version uint64

// Table is the complete configuration that operators maintain. A published table
// never changes; each edit creates a new version.
type Table struct {
	Version Version       `json:"version"`
	Regions []Region      `json:"regions"`
	Routes  []Route       `json:"routes"`
	Teams   []Team        `json:"teams"`
	Links   []Link        `json:"links"`
	Drains  []Drain       `json:"drains"`
	Blocks  []ClientBlock `json:"blocks"`
}

// Region is a region in which backend servers run.
type Region struct {
	Name string `json:"name"`
}

// Access specifies which callers may use a route.
type Access string

// The values of Access.
const (
	// KeyRequired admits only callers that send a team's API key.
	KeyRequired Access = "keyed"
	// Public admits all callers.
	Public Access = "open"
)

// RetryPolicy specifies whether the requests of a route may run more than once.
type RetryPolicy string

// The values of RetryPolicy.
const (
	// Idempotent marks requests that may be sent again.
	Idempotent RetryPolicy = "idempotent"
	// AtMostOnce marks requests that must run at most once, such as payments, orders
	// and deposits.
	AtMostOnce RetryPolicy = "once"
)

// Route maps a path prefix to a service and splits the route's traffic across
// regions.
type Route struct {
	Name string `json:"name"`
	// Path is the prefix of the request paths that the route matches; the route
	// with the longest matching prefix wins.
	Path        string      `json:"path"`
	Service     string      `json:"service"`
	Access      Access      `json:"access"`
	RetryPolicy RetryPolicy `json:"repeat"`
	// Weights has one entry for each region that has a weight for the route.
	Weights []Weight `json:"weights"`
}

// Weight is a region's share of a route's traffic, relative to the route's other
// weights.
type Weight struct {
	Region string  `json:"region"`
	Weight float64 `json:"weight"`
}

// Team is a customer account. Its rate limit applies to the sum of its requests on
// all entry hosts.
type Team struct {
	Name string `json:"name"`
	// Rate is the rate limit in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the size of the rate limit's token bucket in requests.
	Burst float64 `json:"burst"`
	// Weight is the team's relative share of capacity when not all requests can
	// run. In a file, an empty cell means 1.
	Weight float64 `json:"weight"`
}

// Link limits the traffic from one region's entry hosts to another region's
// backend servers.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Rate is the limit on all traffic of the link, over all routes, in requests
	// per second.
	Rate float64 `json:"rate"`
	// Burst is the size of the token bucket of Rate in requests.
	Burst float64 `json:"burst"`
	// MaxShiftRate is the limit, in requests per second, on the traffic that was
	// served in region From before a change of weights or the loss of a region, and is
	// served in region To because of it.
	MaxShiftRate float64 `json:"shift-cap"`
}

// Drain is a scheduled period during which a region's weights count as zero.
type Drain struct {
	Region string    `json:"region"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
}

// ClientBlock assigns the client addresses of a prefix to a region.
type ClientBlock struct {
	Prefix netip.Prefix `json:"prefix"`
	Region string       `json:"region"`
}
