package steer

import "trefoilline.example/trefoilline/table"

// localWeights returns the weights for the entry hosts of the route plan's
// origin. The originShares are the shares of the route's traffic that reach
// the entry hosts of each region. As many requests as possible stay in the
// region of their entry host, while each region gets, over all hosts, the
// share that the table assigns. A region whose entry hosts get more than its
// share sends the rest to the regions whose hosts get less, in proportion to
// what these lack.
func localWeights(routePlan RoutePlan, originShares Weights) Weights {
	ownShare := originShares.Of(routePlan.Origin)
	if routePlan.Origin == "" || ownShare <= 0 {
		return routePlan.TableWeights
	}
	localShare := min(1, routePlan.TableWeights.Of(routePlan.Origin)/ownShare)
	deficits := make(Weights, 0, len(routePlan.TableWeights))
	for _, x := range routePlan.TableWeights {
		deficits = append(deficits, table.Weight{
			Region: x.Region,
			Weight: max(0, x.Weight-originShares.Of(x.Region)),
		})
	}
	deficits = deficits.normalized()
	local := make(Weights, 0, len(deficits))
	for _, x := range deficits {
		x.Weight *= 1 - localShare
		if x.Region == routePlan.Origin {
			x.Weight += localShare
		}
		local = append(local, x)
	}
	return local.normalized()
}
