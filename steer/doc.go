/*
Package steer decides in which region a request is served, and which entry
hosts a caller should contact. On the path of a request it comes after
authentication and before a backend server of the region is chosen. The
decisions are functions of a snapshot of the configuration and a clock. They
cover:

  - the weights of the regions in force for each route,
  - the region of each request,
  - the steps in which weights change from one configuration to the next,
  - the traffic of a region that is lost, which moves to the other regions,
  - the entry hosts that a look-up returns.

Each request has a stable [RequestHash]. Weighted rendezvous hashing maps the
hash to a region ([Weights.PickRegion]). The mapping depends only on the
weights, and a change of weights moves only the hashes that must move.

# Usage

	weights := steer.TableWeights(route, current.Drains, clock())
	region := weights.PickRegion(steer.HashRequest(team, client, path))

	selector := steer.NewHostSelector(hosts, steer.NewClientBlocks(current.Blocks))
	response, err := selector.LookUp(steer.LookupRequest{
		Client: client,
		Team:   team,
	})
*/
package steer
