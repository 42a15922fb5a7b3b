package steer

import (
	"fmt"
	"time"
)

// NoRegionError reports that no region has weight for the route.
type NoRegionError struct {
	Route string
}

func (e *NoRegionError) Error() string {
	return fmt.Sprintf("no region serves route %q", e.Route)
}

// LimitError reports that a fleet-wide limit has no token for the request. It
// was not run.
type LimitError struct {
	// Limit is the limit's name, as of [ShiftLimitName] or [LinkLimitName].
	Limit string
	// RetryAfter is when a token may be free; zero if not known.
	RetryAfter time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("limit %q has no room for the request", e.Limit)
}

// LostError reports that the request's region is lost and the request is not
// among those that the other regions can take yet. It was not run.
type RegionLostError struct {
	Service string
	Region  string
}

func (e *RegionLostError) Error() string {
	return fmt.Sprintf("region %q is lost to %q and the others cannot take the request yet", e.Region, e.Service)
}

// NoHostError reports that no entry host is listed.
type NoEntryHostError struct{}

func (e *NoEntryHostError) Error() string {
	return "no entry host is listed"
}
