package steer

import "trefoilline.example/trefoilline/table"

// localWeights returns the weights of the entry hosts of the route's origin,
// such that most requests stay in their region while the regions get, over all
// hosts, the parts that the table says. A region whose hosts get more than its
// part passes on the rest to those that get less than theirs, in proportion.
func localWeights(r RoutePlan, flows Weights) Weights {
	own := flows.Of(r.Origin)
	if r.Origin == "" || own <= 0 {
		return r.TableWeights
	}
	stays := min(1, r.TableWeights.Of(r.Origin)/own)
	missing := make(Weights, 0, len(r.TableWeights))
	for _, x := range r.TableWeights {
		missing = append(missing, table.Weight{
			Region: x.Region,
			Weight: max(0, x.Weight-flows.Of(x.Region)),
		})
	}
	missing = missing.normal()
	local := make(Weights, 0, len(missing))
	for _, x := range missing {
		x.Weight *= 1 - stays
		if x.Region == r.Origin {
			x.Weight += stays
		}
		local = append(local, x)
	}
	return local.normal()
}
