/*
Package queue shares a scarce resource fairly between teams. An entry host queues
requests in it between admission and the backend server: a request waits until
a slot on a backend server is free.

Each team has its own queue of bounded length. A free slot goes to the team that
has held slots for the least time in proportion to its weight (start-time fair
queueing over the time that grants are held). A team that sends several times its
rate therefore delays only its own requests. A request that cannot meet its
deadline is rejected at once.

# Usage

	requests := &queue.Queue[*backend.Reservation]{
		TryAcquire: func() (*backend.Reservation, error) {
			return pool.Reserve("storefront", "accra")
		},
	}
	requests.SetWeights(weights)
	grant, err := requests.Acquire(ctx, team, deadline)
	if err != nil {
		return err // a typed error; the request was not run
	}
	defer grant.Release()
	// Deferred last, so that it frees the slot before grant.Release.
	defer pool.Release(grant.Value, outcome)

Releasing a grant dispatches the next request. When capacity becomes free in
another way, such as by added servers, call [Queue.Dispatch].
*/
package queue
