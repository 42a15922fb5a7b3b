/*
Package table is the operators' table: which routes there are, how each
route's traffic is weighed across regions, what each team may use, the limits
between regions, and the drains on schedule.

A table is edited as a CSV file and published as a new version. A version never
changes: its parts are named by their content, and one object, the head, names
the version in force. A reader therefore sees a whole version or none, and two
operators cannot overwrite each other unawares.

# Usage

	edited, err := table.ParseCSV(file)
	if err != nil {
		return err // names each row, column and value and what is accepted
	}
	publisher := table.Publisher{
		Store: store,
	}
	receipt, err := publisher.Publish(ctx, table.Edit{
		ID:    "2027-01-31 drain of accra",
		Base:  edited.Version,
		Table: edited,
	})

A host loads versions and keeps the highest:

	snapshot, err := reader.Load(ctx, store) // or a peer's snapshot
	if err == nil {
		follower.Offer(snapshot)
	}
	inForce := follower.Current().Table
*/
package table

import (
	"net/netip"
	"time"
)

// Version numbers the published tables, from one. Zero is "none yet".
type Version uint64

// Table is the whole of what operators decide. A published table never
// changes; an edit makes a new version.
type Table struct {
	Version Version       `json:"version"`
	Regions []Region      `json:"regions"`
	Routes  []Route       `json:"routes"`
	Teams   []Team        `json:"teams"`
	Links   []Link        `json:"links"`
	Drains  []Drain       `json:"drains"`
	Blocks  []ClientBlock `json:"blocks"`
}

// Region is a place where backend servers run.
type Region struct {
	Name string `json:"name"`
}

// Access says who may use a route.
type Access string

// The kinds of access.
const (
	// Keyed routes need a team's key.
	KeyRequired Access = "keyed"
	// Open routes are open to all.
	Public Access = "open"
)

// RetryPolicy says whether a request may run more than once.
type RetryPolicy string

// The kinds of repetition.
const (
	// Idempotent requests may be sent again.
	Idempotent RetryPolicy = "idempotent"
	// Once marks requests that run at most once: payments, orders, deposits.
	AtMostOnce RetryPolicy = "once"
)

// Route is a path prefix, the service behind it and its weights.
type Route struct {
	Name string `json:"name"`
	// Path is the prefix that requests match; the longest match wins.
	Path        string      `json:"path"`
	Service     string      `json:"service"`
	Access      Access      `json:"access"`
	RetryPolicy RetryPolicy `json:"repeat"`
	// Weights has one entry for each region that serves the route.
	Weights []Weight `json:"weights"`
}

// Weight is a region's share of a route's traffic, relative to the others.
type Weight struct {
	Region string  `json:"region"`
	Weight float64 `json:"weight"`
}

// Team is a customer with one account, and what it may use over all hosts.
type Team struct {
	Name string `json:"name"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is in requests.
	Burst float64 `json:"burst"`
	// Weight is the team's part when not all requests can run; 1 if unset.
	Weight float64 `json:"weight"`
}

// Link limits the traffic from one region's entry hosts to another region's
// backend servers.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Rate is the requests per second that may cross, all routes together.
	Rate float64 `json:"rate"`
	// Burst is the requests that may cross at once.
	Burst float64 `json:"burst"`
	// ShiftCap is the requests per second that changes of weights may move
	// from the one region to the other.
	ShiftCap float64 `json:"shift-cap"`
}

// Drain empties a region for a while.
type Drain struct {
	Region string    `json:"region"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
}

// ClientBlock places a block of clients in a region.
type ClientBlock struct {
	Prefix netip.Prefix `json:"prefix"`
	Region string       `json:"region"`
}
