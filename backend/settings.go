package backend

import "time"

const (
	// MaxProbeAge is the age above which a probe says nothing any more.
	MaxProbeAge = 3 * time.Second
	// SlowStartTime is how long a new or returned server takes to get its full
	// part.
	SlowStartTime = 30 * time.Second
	// BaseEjectionTime is how long a first ejection lasts; each further one in a row
	// lasts as much longer.
	BaseEjectionTime = 5 * time.Second
	// MaxEjectTime bounds an ejection.
	MaxEjectionTime = time.Minute
	// DrainGracePeriod is the time after which a leaving server must get no new
	// work.
	DrainGracePeriod = 3 * time.Second
	// MinRegionLostTime is the least time that a lost region stays lost.
	MinRegionLostTime = 5 * time.Second
)

const (
	// ejectFailures is how many failures in a row eject a server.
	ejectFailures = 3
	// lossFailures is how many failures in a row, over all servers of a
	// region, make it lost.
	lossFailures = 8
	// lossServers is how many different servers must have failed for a loss.
	lossServers = 3
	// sampleSize is how many servers are compared for one request.
	sampleSize = 3
)
