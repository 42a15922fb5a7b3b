package backend

import "fmt"

// NoServerError reports that no backend server of the service in the region accepts
// new requests: none is listed, or all are draining.
type NoServerError struct {
	Service string
	Region  string
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server of service %q in region %q accepts new requests", e.Service, e.Region)
}

// NoFreeSlotError reports that this host has no free slot for the service in the
// region. The request was not run and may be queued.
type NoFreeSlotError struct {
	Service string
	Region  string
	// Running is the number of requests of the service that this host runs in the
	// region.
	Running int
}

func (e *NoFreeSlotError) Error() string {
	return fmt.Sprintf("no free slot for service %q in region %q: %d requests running from this host", e.Service, e.Region, e.Running)
}

// RegionLostError reports that the region is lost to the service: requests to
// all its backend servers there fail.
type RegionLostError struct {
	Service string
	Region  string
}

func (e *RegionLostError) Error() string {
	return fmt.Sprintf("region %q is unavailable to service %q: requests to all its backend servers fail", e.Region, e.Service)
}

// IsTemporary returns true for a NoFreeSlotError: a slot may become free, so that
// the request may be queued.
func (e *NoFreeSlotError) IsTemporary() bool { return true }

// ProbeError reports that a health endpoint gave no valid response.
type ProbeError struct {
	Server string
	// Status is the HTTP status code; zero if no response came.
	Status int
	Cause  error
}

func (e *ProbeError) Error() string {
	return fmt.Sprintf("probe of backend server %q failed with status %d: %v", e.Server, e.Status, e.Cause)
}

func (e *ProbeError) Unwrap() error { return e.Cause }
