package daemon

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/streamproxy"
	"trefoilline.example/trefoilline/table"
)

// The latency quantiles of a status.
const (
	median       = 0.5
	percentile99 = 0.99
)

// statusService answers operators' queries for the status of this host.
type statusService struct {
	daemon *daemon
}

// Status returns the state of this host and what it knows of teams, routes, backend
// servers and other hosts.
func (s *statusService) Status(_ context.Context, _ *connect.Request[trefoillinev1.StatusRequest]) (*connect.Response[trefoillinev1.StatusResponse], error) {
	d := s.daemon
	age, _ := d.fleetNode.ConfirmationAge(keysFeed.Prefix)
	response := &trefoillinev1.StatusResponse{
		Host:         d.ownEntryHost(),
		Incarnation:  d.incarnation,
		State:        d.hostState(),
		TableVersion: uint64(d.snapshots.Version()),
		KeysVersion:  uint64(d.fleetNode.FeedVersion(keysFeed.Prefix)),
		KeysAge:      durationpb.New(age),
		Violations:   d.violations(),
		Teams:        d.teamStatus(),
		Peers:        d.peerStatus(),
	}
	if snapshot := d.snapshots.Current(); snapshot != nil {
		response.Regions = d.regionStatus(&snapshot.Table)
		response.Routes = d.routeStatus(&snapshot.Table)
	}
	return connect.NewResponse(response), nil
}

// ownEntryHost describes this host.
func (d *daemon) ownEntryHost() *trefoillinev1.EntryHost {
	return &trefoillinev1.EntryHost{
		Name:    d.settings.Host,
		Region:  d.settings.Region,
		Zone:    d.settings.Zone,
		Address: d.settings.ListenAddress.String(),
	}
}

// peerStatus returns the state of each other entry host, as far as this one knows it.
func (d *daemon) peerStatus() []*trefoillinev1.PeerStatus {
	var peers []*trefoillinev1.PeerStatus
	for _, member := range d.fleetNode.Members() {
		if member.Name == d.settings.Host {
			continue
		}
		peers = append(peers, &trefoillinev1.PeerStatus{
			Host: &trefoillinev1.EntryHost{
				Name:    member.Name,
				Region:  member.Region,
				Zone:    member.Zone,
				Address: member.Address.String(),
			},
			State: peerState(member),
		})
	}
	return peers
}

// peerState returns the state of another entry host. It is unspecified for a host that is
// not alive, and for a listed host that this one has never heard of, whose incarnation is
// zero.
func peerState(member fleet.MemberRecord) trefoillinev1.HostState {
	switch {
	case member.State != fleet.Alive || member.Incarnation == 0:
		return trefoillinev1.HostState_HOST_STATE_UNSPECIFIED
	case member.Draining:
		return trefoillinev1.HostState_HOST_STATE_LEAVING
	default:
		return trefoillinev1.HostState_HOST_STATE_LIVE
	}
}

// hostState returns the state of this host.
func (d *daemon) hostState() trefoillinev1.HostState {
	switch {
	case d.draining.Load():
		return trefoillinev1.HostState_HOST_STATE_LEAVING
	case d.snapshots.Version() == 0:
		return trefoillinev1.HostState_HOST_STATE_STARTING
	default:
		return trefoillinev1.HostState_HOST_STATE_LIVE
	}
}

// violations returns the number of invariant violations that were reported.
func (d *daemon) violations() uint64 {
	return d.metrics.Violations()
}

// teamStatus returns the metrics of each team. Refused counts the rejected requests
// without those over the team's rate, which OverRate counts.
func (d *daemon) teamStatus() []*trefoillinev1.TeamStatus {
	names := d.metrics.TeamLabels()
	sort.Strings(names)
	teams := make([]*trefoillinev1.TeamStatus, 0, len(names))
	for _, name := range names {
		overRate := d.metrics.RejectionCount(name, string(streamproxy.RateLimitExceeded))
		teams = append(teams, &trefoillinev1.TeamStatus{
			Team:       name,
			Answered:   d.metrics.CompletedCount(name),
			OverRate:   overRate,
			Refused:    d.metrics.TotalRejectionCount(name) - overRate,
			LatencyP50: durationpb.New(d.metrics.LatencyQuantile(name, median)),
			LatencyP99: durationpb.New(d.metrics.LatencyQuantile(name, percentile99)),
		})
	}
	return teams
}

// regionStatus returns the sums of servers, running requests and slots for each service
// in each region that has backend servers for it.
func (d *daemon) regionStatus(current *table.Table) []*trefoillinev1.RegionStatus {
	// sumKey has the same fields as serviceRegion.
	type sumKey struct{ service, region string }
	sums := make(map[sumKey]*trefoillinev1.RegionStatus)
	for _, s := range d.pool.Servers() {
		key := sumKey{
			service: s.Service,
			region:  s.Region,
		}
		sum, found := sums[key]
		if !found {
			sum = &trefoillinev1.RegionStatus{
				Region:  s.Region,
				Service: s.Service,
			}
			sums[key] = sum
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
			if sum, found := sums[sumKey{service: service, region: region.Name}]; found {
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

// effectiveWeights returns the effective weights of a route: those of the plan, as means
// over the entry hosts of all regions, or those of the table if the plan has none for the
// route yet.
func (d *daemon) effectiveWeights(route table.Route, drains []table.Drain) steer.Weights {
	if plan := d.plan.Load(); plan != nil {
		if r, found := plan.RouteForAllOrigins(route.Name); found {
			return r.Effective
		}
	}
	return steer.TableWeights(route, drains, time.Now())
}

// addServer adds a backend server to the sums of its service and region.
func addServer(sum *trefoillinev1.RegionStatus, s backend.ServerStatus) {
	sum.Servers++
	sum.Running += uint32(s.Running)
	if s.State == backend.Live || s.State == backend.SlowStart {
		sum.Usable++
		sum.Slots += uint32(s.Slots)
	}
}
