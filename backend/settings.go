package backend

import "time"

const (
	// MaxProbeAge is the age above which a probe is ignored.
	MaxProbeAge = 3 * time.Second
	// SlowStartTime is how long it takes until a new server, or one that returns from an
	// ejection, may use all its slots.
	SlowStartTime = 30 * time.Second
	// BaseEjectionTime is how long a first ejection lasts. Each further one, without a
	// successful response in between, lasts this much longer.
	BaseEjectionTime = 5 * time.Second
	// MaxEjectionTime limits the duration of an ejection.
	MaxEjectionTime = time.Minute
	// DrainGracePeriod is the time after this host learns that a server is draining
	// after which a new request to it is a [WorkWhileLeaving] violation.
	DrainGracePeriod = 3 * time.Second
	// MinRegionLostTime is the minimum time for which a region stays lost before probe
	// responses alone can end the loss.
	MinRegionLostTime = 5 * time.Second
)

const (
	// minEjectionFailures is how many failures in a row eject a server.
	minEjectionFailures = 3
	// minLossFailures is how many failures in a row, over all servers of a service in a
	// region, make the region lost to the service.
	minLossFailures = 8
	// minLossServers is how many different servers must have failed for that.
	minLossServers = 3
	// sampleSize is how many random servers are compared by load for one request.
	sampleSize = 3
)
