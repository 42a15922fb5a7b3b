package steer

import (
	"fmt"
	"time"
)

// NoRegionError reports that no region has weight for the route, or that the
// route is not known.
type NoRegionError struct {
	Route string
}

func (e *NoRegionError) Error() string {
	return fmt.Sprintf("no region serves route %q", e.Route)
}

// LimitError reports that a fleet-wide limit has no token left for the
// request. The request was not run.
type LimitError struct {
	// Limit is the name of the limit, from [ShiftLimitName] or
	// [LinkLimitName].
	Limit string
	// RetryAfter is the time until a token may be free; zero if not known.
	RetryAfter time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("limit %q has no token for the request", e.Limit)
}

// RegionLostError reports that the request's region is lost and that the
// other regions cannot take the request yet. The request was not run.
type RegionLostError struct {
	Service string
	Region  string
}

func (e *RegionLostError) Error() string {
	return fmt.Sprintf("region %q is lost to service %q and the other regions cannot take the request yet", e.Region, e.Service)
}

// NoEntryHostError reports that the selector was given no entry host.
type NoEntryHostError struct{}

func (e *NoEntryHostError) Error() string {
	return "no entry host is listed"
}
