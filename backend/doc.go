/*
Package backend is the backend servers as one entry host sees them: which of
them may take a request now, how many requests this host runs on each, and
what their probes and answers say about their health.

A server with a free slot that is at home on this host is chosen first, then the
least loaded of a small random sample, by the requests that this host knows to be
running. Reported load has no part in it, because reports lag and mislead, and
hosts that all follow the same report overload the same server.

Evidence from requests ejects a server; the health endpoint alone never does.
Ejected servers are always a minority of their region. A region all of whose
servers fail is lost, which [Pool.Choose] says with a [LostRegionError].

Probes older than [ProbeLife] are unknown, and unknown means that what was
decided stands: a server whose probes stop keeps its state.

# Usage

	pool := &backend.Pool{
		Slots: slots, // this host's part of each region's slots
	}
	pool.SetMachines(machines)
	pool.SetHosts(host, hosts)
	reservation, err := pool.Choose("storefront", "accra")
	if err != nil {
		return err // a typed error; the request was not run
	}
	// send the request to reservation.Address
	pool.Done(reservation, backend.Answered{})

A Pool is safe for concurrent use. It does no I/O; [Prober] feeds it probes.
*/
package backend
