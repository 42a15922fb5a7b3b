/*
Package steer holds the decisions on where traffic goes, as functions of a
snapshot and a clock: the weights in force, the region of each request, the
steps in which weights change, what happens when a region is lost, and which
entry hosts a caller should use.

A request has a stable [RequestHash]. Weighted rendezvous hashing maps it to a region
([Weights.PickRegion]), so a change of weights moves only the points that must move,
and the map depends on nothing but the weights.

# Usage

	weights := steer.TableWeights(route, current.Drains, clock())
	region := weights.Place(steer.NewPoint(team, client, path))

	lookup := steer.NewLookup(hosts, steer.NewBlocks(current.Blocks))
	answer, err := lookup.Answer(steer.Question{
		Client: client,
		Team:   team,
	})
*/
package steer
