package backend

import "time"

const (
	// ProbeLife is the age above which a probe says nothing any more.
	ProbeLife = 3 * time.Second
	// WarmTime is how long a new or returned server takes to get its full
	// part.
	WarmTime = 30 * time.Second
	// EjectTime is how long a first ejection lasts; each further one in a row
	// lasts as much longer.
	EjectTime = 5 * time.Second
	// MaxEjectTime bounds an ejection.
	MaxEjectTime = time.Minute
	// LeaveBound is the time after which a leaving server must get no new
	// work.
	LeaveBound = 3 * time.Second
	// LossTime is the least time that a lost region stays lost.
	LossTime = 5 * time.Second
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
