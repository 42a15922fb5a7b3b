/*
Package placement decides which backend server a request goes to, and when.

A backend server that handled an object lately needs about a third of the time
for it, and remembers a bounded number of objects. So each object has a few
places, which all hosts find by the same hash without talking, and requests for it
wait for those places rather than spread over all. Load patterns that this is for:
steady traffic over a few dozen objects a route and region; a region with many
callers and few slots, whose excess goes to the same places elsewhere; a burst, in
which each object's places fill up and requests wait here, most urgent first;
servers that come, leave, turn cold, slow or fall ill, when only their own objects
move.

Nothing here does I/O. The state is what one host believes of all backend servers:
the platform's list, how many requests this host has running on each, and what the
answers said.

# Usage

	pool := &placement.Pool{
		Region: "accra",
	}
	pool.SetServers(machines)
	reservation, err := pool.Acquire(ctx, placement.Want{
		Service: "catalogue",
		Object:  "stock-check/17",
		GiveUp:  time.Now().Add(40 * time.Millisecond),
	})
	// Send the request to reservation.Server.
	pool.Done(reservation, placement.Answered{
		Took: took,
	})

Times are [time.Duration]; loads are numbers of requests.
*/
package placement
