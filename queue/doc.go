/*
Package queue is a fair queue between the teams of one entry host. Requests
wait in it for something scarce, such as a slot on a backend server.

Each team has a line of its own, bounded in length. What becomes free goes to
the team that has used the least for its weight (start-time fair queueing over
the time that grants are held), so a team that sends several times its rate
waits for itself. A request that cannot meet its deadline is refused at once.

# Usage

	line := &queue.Queue[*backend.Reservation]{
		Try: func() (*backend.Reservation, error) {
			return pool.Choose("storefront", "accra")
		},
	}
	line.SetWeights(weights)
	grant, err := line.Acquire(ctx, team, deadline)
	if err != nil {
		return err // a typed error; the request was not run
	}
	defer grant.Release()
	defer pool.Done(grant.Value, outcome)

Whoever makes room in another way, such as by adding servers, calls
[Queue.Wake].
*/
package queue
