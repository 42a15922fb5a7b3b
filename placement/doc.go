/*
Package placement selects the backend server for each request on an entry host, and
queues the request while that server is full. It runs after the team's rate is
checked and the service is chosen, and before the request is sent.

A backend server that recently handled an affinity key (an object that requests are
about) needs about a third of the time for it, and remembers a bounded number of
keys. Each key is therefore served by a few servers, which all hosts find with the
same weighted rendezvous hash without communicating. A request waits for the servers
of its key rather than go to any other, unless one of them is cold.

A cold server is one that still warms up: it started recently, or its zone was evacuated
until recently. Its cache is taken to be empty, and all hosts together send it requests
at its service's cold rate only. Keys for which a host has no rate left go to their next server.

It handles these load patterns:

  - Steady traffic over a few dozen keys for each route and region.
  - A region with many callers and few slots: the keys that exceed its capacity are
    served in other regions, each by the same servers all the time.
  - A burst: the servers of each key fill up, and requests are queued on this host,
    the most urgent first.
  - A team that sends several times its usual rate: its requests wait behind those of
    other teams of the same priority, which share the slots by their weights.
  - Overload: requests that can still be in time go first, and rejected requests are
    told different times to return, at which they go before new ones.
  - Servers that are added, drained or removed, become cold, slow down or fail:
    only their own keys move to other servers.

The package also computes which fraction of a region's load other regions serve
([RegionPlan], [RemoteShares], [LocalShares], [InitialRemoteShare]). The host calls these functions
periodically, not for each request, and sets the result with [Pool.SetLocalShares] and
[Pool.SetDestinations]. [Pool.SetMaxShift] bounds the requests that change their region.

The package does no I/O. A pool holds what one host knows about all backend servers:
the platform's list of servers, the requests that this host has in flight on each, and
what the servers' responses reported.

# Usage

	pool := &placement.Pool{
		Region: "accra",
	}
	pool.SetServers(machines)
	reservation, err := pool.Acquire(ctx, placement.Request{
		Service:       "catalogue",
		AffinityKey:   "stock-check/17",
		QueueDeadline: time.Now().Add(40 * time.Millisecond),
	})
	// Send the request to reservation.Server.
	pool.Release(reservation, placement.Responded{
		Latency: latency,
	})

Loads are numbers of requests, running and queued on a server. A server's
utilization is its load divided by its slots, and exceeds 1 if requests are queued.
*/
package placement
