package placement

import "time"

// singleServerUtilization is the mean utilization of the servers above which each
// affinity key uses one server only.
const singleServerUtilization = 0.6

// candidateLimit returns how many servers of this region, or of the others, an affinity key
// may use: one if the servers are highly utilized, else the configured number.
//
// The caches of all servers may be empty at once: at the start of a day, after a restart
// of all servers, or after any fault in which they lose their caches. The servers then
// fill up with requests whose keys are not cached. If a request overflowed to the second
// server of its key, the key would not be cached there either, and the request would
// occupy a slot for three times as long. With one server for each key, the keys are
// cached soonest.
func (p *Pool) candidateLimit(svc *serviceState, isLocal bool, now time.Time) int {
	svc.utilization.update(svc.servers, p.Region, now)
	utilization := svc.utilization.remote
	if isLocal {
		utilization = svc.utilization.local
	}
	if utilization > singleServerUtilization {
		return 1
	}
	return p.serversPerKey()
}

// A meanUtilization is computed again after utilizationMaxAge, or once it was used as many
// times as the service has servers divided by serversPerUse. The time for a use so does not
// grow with the number of servers.
const (
	utilizationMaxAge = 50 * time.Millisecond
	serversPerUse     = 8
)

// meanUtilization holds the mean utilization of a service's usable servers.
type meanUtilization struct {
	// local is that of this region's servers, remote that of all others.
	local      float64
	remote     float64
	computedAt time.Time
	// uses counts the uses since the values were computed.
	uses int
}

// update computes the values again if they are too old.
func (u *meanUtilization) update(servers []*server, region string, now time.Time) {
	u.uses++
	if u.uses*serversPerUse < len(servers) && now.Sub(u.computedAt) < utilizationMaxAge {
		return
	}
	u.uses, u.computedAt = 0, now
	var localLoad, localSlots, remoteLoad, remoteSlots float64
	for _, s := range servers {
		switch {
		case !s.isUsable() || !s.isHealthy(now):
		case s.Region == region:
			localLoad += s.meanLoadAt(now)
			localSlots += float64(s.Slots)
		default:
			remoteLoad += s.meanLoadAt(now)
			remoteSlots += float64(s.Slots)
		}
	}
	u.local = localLoad / max(localSlots, 1)
	u.remote = remoteLoad / max(remoteSlots, 1)
}
