package backend

import "time"

const (
	// MaxProbeAge is the age above which a probe is ignored.
	MaxProbeAge = 3 * time.Second
	// SlowStartTime is the duration of the slow start in which a new server, or
	// one that returns from an ejection, gets more and more of its slots.
	SlowStartTime = 30 * time.Second
	// BaseEjectionTime is how long a first ejection lasts. Each further one, without a
	// successful response in between, lasts this much longer.
	BaseEjectionTime = 5 * time.Second
	// MaxEjectionTime limits the duration of an ejection.
	MaxEjectionTime = time.Minute
	// DrainGracePeriod is how long after this host learned that a server is
	// draining the invariant check still tolerates a new request to it; see
	// [WorkWhileLeaving].
	DrainGracePeriod = 3 * time.Second
	// MinRegionLostTime is the minimum time for which a region stays lost to a
	// service before responses to probes, without successful requests, end the
	// loss.
	MinRegionLostTime = 5 * time.Second
)

const (
	// minEjectionFailures is how many failures in a row eject a server.
	minEjectionFailures = 3
	// minLossFailures is how many failures in a row, over all servers of a service in a
	// region, make the region lost to the service.
	minLossFailures = 8
	// minLossServers is how many different servers must have failed before a
	// region is lost to the service.
	minLossServers = 3
	// sampleSize is how many random servers are compared by load for one request.
	sampleSize = 3
)
