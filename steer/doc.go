/*
Package steer decides in which region a request is served, and which entry
hosts a caller should contact. On the path of a request it comes after the
team of the caller is known and before a backend server of the region is
chosen.

An entry host decides with a [Router] from the table and the plan that it was
given, from the regions that it observes as lost, and from tokens of
fleet-wide limits. Each request has a stable [RequestHash]. Weighted
rendezvous hashing maps the hash to a region ([Weights.PickRegion]). The
mapping depends only on the weights, and a change of weights moves only the
hashes that must move.

# Terms

  - The table holds the configured weights of each route by region, the drains
    of regions and the links between regions. Its package is table.
  - A [Plan] holds the weights in force. It brings them to the table's weights
    in steps that keep to the shift caps and to the free slots of the regions.
  - A step is first in force. It has held when it was in force for
    [StepHoldTime]. Then it settles, as far as its moves were granted: its
    weights become the new baseline, and its requests no longer count as moved.
  - The origin of a request is the region of the entry host that got it.
  - A link leads from one region to another and has a rate for all requests
    that cross it. Its shift cap is the rate at which requests may move from the
    one region to the other. The shift limit is the token bucket made from it.
  - A slot is room for one request at the backend servers of a service.
  - A region is lost to a service if requests to all of the service's backend
    servers there fail. An evacuation moves the traffic of a lost region to other regions in steps,
    and back when the region returns.

# Usage

Each entry host keeps a router:

	router := &steer.Router{Region: region, Limiter: steer.SharedLimiter{Limiter: limiter}}
	router.SetTable(current)
	router.SetPlan(plan)
	decision, err := router.Decide(steer.Request{
		Route: route,
		Team:  team,
		Hash:  steer.HashRequest(team, client, path),
	})

The one host that holds the plan's lease computes the next plan from the
reports of all entry hosts:

	next, result := steer.NextPlan(plan, current, measurements, clock())

Look-ups are answered from a snapshot of the entry hosts:

	selector := steer.NewHostSelector(hosts, steer.NewClientBlocks(current.Blocks))
	selection, err := selector.LookUp(steer.HostQuery{
		Client: client,
		Team:   team,
	})
*/
package steer
