package backend

import "fmt"

// NoServerError reports that no listed backend server of the service in the
// region takes new work: there is none, or all are leaving.
type NoServerError struct {
	Service string
	Region  string
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server of %q in region %q takes new work", e.Service, e.Region)
}

// NoSlotError reports that this host has no free slot of the region. The
// request was not run and may wait.
type NoFreeSlotError struct {
	Service string
	Region  string
	// Running is how many requests this host runs in the region.
	Running int
}

func (e *NoFreeSlotError) Error() string {
	return fmt.Sprintf("no free slot of %q in region %q, %d requests running from this host", e.Service, e.Region, e.Running)
}

// LostRegionError reports that requests to all servers of the region fail.
type RegionLostError struct {
	Service string
	Region  string
}

func (e *RegionLostError) Error() string {
	return fmt.Sprintf("region %q is lost to %q: requests to its backend servers fail", e.Region, e.Service)
}

// MayWait says that a slot may become free.
func (e *NoFreeSlotError) MayWait() bool { return true }

// ProbeError reports that a health endpoint gave no usable answer.
type ProbeError struct {
	Server string
	// Status is the HTTP status; zero if no answer came.
	Status int
	Cause  error
}

func (e *ProbeError) Error() string {
	return fmt.Sprintf("probe of backend server %q failed with status %d: %v", e.Server, e.Status, e.Cause)
}

func (e *ProbeError) Unwrap() error { return e.Cause }
