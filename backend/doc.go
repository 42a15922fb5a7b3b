/*
Package backend chooses the backend server that runs a request, from what one
entry host knows: which servers may take a request now, how many requests this
host runs on each, and what probes and request outcomes say about their health. It
is the last step before the request is sent.

Each slot of a server is assigned to one entry host, which uses its assigned slots
first: a server on which a slot assigned to this host is free is chosen first, then
the least loaded of a small random sample, by the requests that this host runs there.
Load reported by servers is not used: reports lag and can be wrong, and hosts that all
follow the same report overload the same server.

Failed requests eject a server; the health endpoint alone never does. Ejected
servers are always a minority of the servers of a service in a region. If requests to
all servers of a service in a region fail, this host treats the region as lost to the
service, and [Pool.Reserve] returns a [RegionLostError] until requests succeed or most
servers respond to probes again.

Probes older than [MaxProbeAge] are ignored. A server that is no longer probed keeps
its last state.

# Usage

	pool := &backend.Pool{
		SlotLimiter: limiter, // this host's share of each region's slots
	}
	pool.SetMachines(machines)
	pool.SetHosts(host, hosts)
	reservation, err := pool.Reserve("storefront", "accra")
	if err != nil {
		return err // a typed error; the request was not run
	}
	// send the request to reservation.Address
	pool.Release(reservation, backend.Responded{})

A Pool is safe for concurrent use. It does no I/O; a [Prober] sends the probes and
records their results in the pool.
*/
package backend
