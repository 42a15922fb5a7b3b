package daemon

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// The percentiles that a status gives.
const (
	median       = 0.5
	percentile99 = 0.99
)

// fleetQueries answers operators' queries.
type fleetQueries struct {
	daemon *daemon
}

// Status returns the state of this host.
func (q *fleetQueries) Status(_ context.Context, _ *connect.Request[trefoillinev1.StatusRequest]) (*connect.Response[trefoillinev1.StatusResponse], error) {
	d := q.daemon
	age, _ := d.node.ConfirmationAge(keysFeed.Prefix)
	response := &trefoillinev1.StatusResponse{
		Host:         d.ownEntry(),
		Incarnation:  d.incarnation,
		State:        d.state(),
		TableVersion: uint64(d.tables.Version()),
		KeysVersion:  uint64(d.node.FeedVersion(keysFeed.Prefix)),
		KeysAge:      durationpb.New(age),
		Violations:   d.violations(),
		Teams:        d.teamStatus(),
		Peers:        d.peerStatus(),
	}
	if snapshot := d.tables.Current(); snapshot != nil {
		response.Regions = d.regionStatus(&snapshot.Table)
		response.Routes = d.routeStatus(&snapshot.Table)
	}
	return connect.NewResponse(response), nil
}

func (d *daemon) ownEntry() *trefoillinev1.EntryHost {
	return &trefoillinev1.EntryHost{
		Name:    d.settings.Host,
		Region:  d.settings.Region,
		Zone:    d.settings.Zone,
		Address: d.settings.Listen.String(),
	}
}

// peerStatus lists the other entry hosts as this one knows them.
func (d *daemon) peerStatus() []*trefoillinev1.PeerStatus {
	var peers []*trefoillinev1.PeerStatus
	for _, r := range d.node.Members() {
		if r.Name == d.settings.Host {
			continue
		}
		peers = append(peers, &trefoillinev1.PeerStatus{
			Host: &trefoillinev1.EntryHost{
				Name:    r.Name,
				Region:  r.Region,
				Zone:    r.Zone,
				Address: r.Address.String(),
			},
			State: peerState(r),
		})
	}
	return peers
}

func peerState(r fleet.MemberRecord) trefoillinev1.HostState {
	switch {
	case r.State != fleet.Alive || r.Incarnation == 0:
		return trefoillinev1.HostState_HOST_STATE_UNSPECIFIED
	case r.Draining:
		return trefoillinev1.HostState_HOST_STATE_LEAVING
	default:
		return trefoillinev1.HostState_HOST_STATE_LIVE
	}
}

func (d *daemon) state() trefoillinev1.HostState {
	switch {
	case d.leaving.Load():
		return trefoillinev1.HostState_HOST_STATE_LEAVING
	case d.tables.Version() == 0:
		return trefoillinev1.HostState_HOST_STATE_STARTING
	default:
		return trefoillinev1.HostState_HOST_STATE_LIVE
	}
}

// violations counts the broken invariants of all parts.
func (d *daemon) violations() uint64 {
	return d.measures.Violations()
}

func (d *daemon) teamStatus() []*trefoillinev1.TeamStatus {
	names := d.measures.TeamLabels()
	sort.Strings(names)
	teams := make([]*trefoillinev1.TeamStatus, 0, len(names))
	for _, name := range names {
		overRate := d.measures.RefusalCount(name, string(entry.OverRate))
		teams = append(teams, &trefoillinev1.TeamStatus{
			Team:       name,
			Answered:   d.measures.AnsweredCount(name),
			OverRate:   overRate,
			Refused:    d.measures.TotalRefusalCount(name) - overRate,
			LatencyP50: durationpb.New(d.measures.LatencyPercentile(name, median)),
			LatencyP99: durationpb.New(d.measures.LatencyPercentile(name, percentile99)),
		})
	}
	return teams
}

// regionStatus sums up each service in each region that serves it.
func (d *daemon) regionStatus(current *table.Table) []*trefoillinev1.RegionStatus {
	type place struct{ service, region string }
	sums := make(map[place]*trefoillinev1.RegionStatus)
	for _, s := range d.pool.Servers() {
		p := place{
			service: s.Service,
			region:  s.Region,
		}
		sum, known := sums[p]
		if !known {
			sum = &trefoillinev1.RegionStatus{
				Region:  s.Region,
				Service: s.Service,
			}
			sums[p] = sum
		}
		addServer(sum, s)
	}
	services := make([]string, 0, len(current.Routes))
	for _, r := range current.Routes {
		services = append(services, r.Service)
	}
	sort.Strings(services)
	var regions []*trefoillinev1.RegionStatus
	for i, service := range services {
		if i > 0 && services[i-1] == service {
			continue
		}
		for _, region := range current.Regions {
			if sum, known := sums[place{service: service, region: region.Name}]; known {
				regions = append(regions, sum)
			}
		}
	}
	return regions
}

func (d *daemon) routeStatus(current *table.Table) []*trefoillinev1.RouteStatus {
	routes := make([]*trefoillinev1.RouteStatus, 0, len(current.Routes))
	for _, r := range current.Routes {
		effective := d.effectiveWeights(r, current.Drains)
		status := &trefoillinev1.RouteStatus{
			Route: r.Name,
		}
		for _, w := range r.Weights {
			status.Weights = append(status.Weights, &trefoillinev1.RegionWeight{
				Region:          w.Region,
				TableWeight:     w.Weight,
				EffectiveWeight: effective.Of(w.Region),
			})
		}
		routes = append(routes, status)
	}
	return routes
}

// effectiveWeights returns the weights that the plan has in effect, or those of
// the table if there is no plan yet.
func (d *daemon) effectiveWeights(route table.Route, drains []table.Drain) steer.Weights {
	if plan := d.plan.Load(); plan != nil {
		if r, found := plan.AggregateRoute(route.Name); found {
			return r.Effective
		}
	}
	return steer.TableWeights(route, drains, time.Now())
}

// addServer adds one backend server to the sum of its region.
func addServer(sum *trefoillinev1.RegionStatus, s backend.View) {
	sum.Servers++
	sum.Running += uint32(s.Running)
	if s.State == backend.Live || s.State == backend.Warming {
		sum.Usable++
		sum.Slots += uint32(s.Slots)
	}
}
