package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/internal/secret"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

const (
	// feedPollInterval is the time between two checks of a feed for changes that other
	// hosts have sent.
	feedPollInterval = 200 * time.Millisecond
	// reportInterval is the time between two reports to the hosts that may write the
	// plan.
	reportInterval = time.Second
)

// The feeds of the store whose changes the hosts of the fleet pass to each other.
var (
	tableFeed = fleet.Feed{
		Prefix: table.HeadKey,
	}
	keysFeed = fleet.Feed{
		Prefix:  team.RecordPrefix,
		HeadKey: team.HeadKey,
	}
	planFeed = fleet.Feed{
		Prefix: planKey,
	}
)

// setUpFleetNode creates the node, which keeps this host's view of the members of the
// fleet and of the feeds.
func (d *daemon) setUpFleetNode() {
	d.fleetNode = &fleet.Node{
		Self: fleet.Host{
			Name:    d.settings.Host,
			Region:  d.settings.Region,
			Zone:    d.settings.Zone,
			Address: d.settings.ListenAddress,
		},
		Incarnation: d.incarnation,
		Feeds: []fleet.Feed{
			tableFeed,
			keysFeed,
			planFeed,
		},
		Settings: fleet.Settings{
			MaxConfirmationAge: d.settings.MaxKeysAge,
		},
		OnViolation: func(v fleet.Violation) {
			d.reportViolation("fleet", v.Invariant+": "+v.Feed)
		},
	}
}

// setUpFleetTransport creates the transport of the fleet's messages and the cache from
// which hosts copy the immutable objects of the table from each other.
func (d *daemon) setUpFleetTransport() {
	d.fleetTransport = &peer.Transport{
		Node:       d.fleetNode,
		HTTPClient: d.newFleetHTTPClient(),
		OnError: func(err error) {
			d.log.Write(observe.PeerUnreachable, zap.Error(err))
		},
	}
	d.objectCache = &peer.ObjectCache{
		Store:      d.store,
		Node:       d.fleetNode,
		HTTPClient: d.newFleetHTTPClient(),
		IsImmutable: func(key string) bool {
			return strings.HasPrefix(key, table.ManifestKeyPrefix) || strings.HasPrefix(key, table.PartKeyPrefix)
		},
	}
}

// newFleetHTTPClient returns an HTTP client for calls to other entry hosts. It sends the
// fleet's secret.
func (d *daemon) newFleetHTTPClient() *http.Client {
	return &http.Client{
		Transport: &secret.Transport{
			Secret: d.settings.FleetSecret,
		},
		Timeout: peerTimeout,
	}
}

// startFleet starts the goroutines that keep the view of the fleet up to date and apply
// its changes.
func (d *daemon) startFleet(ctx context.Context, start func(func())) {
	for _, f := range d.fleetNode.Feeds {
		reader := &fleet.FeedReader{
			Node:  d.fleetNode,
			Store: d.store,
			Feed:  f,
		}
		start(func() { reader.Run(ctx) })
	}
	start(func() { d.fleetTransport.Run(ctx) })
	start(func() { d.syncFleetView(ctx) })
	start(func() { d.watchTable(ctx) })
	start(func() { d.watchPlan(ctx) })
	start(func() { d.reportToPlanCandidates(ctx) })
}

// syncFleetView applies changes of the members and of the API keys to the other
// components, until the context ends.
func (d *daemon) syncFleetView(ctx context.Context) {
	for ctx.Err() == nil {
		d.updateMembers()
		d.applyKeyChanges()
		sleep(ctx, d.fleetNode.TickInterval())
	}
}

// updateMembers passes the live hosts to the limiter, the pool and the host selector.
func (d *daemon) updateMembers() {
	live := d.fleetNode.LiveHosts()
	processes := make([]share.ProcessID, 0, len(live))
	for _, r := range live {
		if r.Draining {
			continue
		}
		processes = append(processes, share.ProcessID{
			Host:        r.Name,
			Incarnation: r.Incarnation,
		})
	}
	d.limiter.SetLiveProcesses(processes)
	changed := d.updateConfirmation()
	if previous := d.members.Load(); previous == nil || !slices.Equal(*previous, live) {
		d.members.Store(&live)
		d.pool.SetHosts(d.settings.Host, d.activeHosts())
		changed = true
	}
	if changed {
		d.updateHostSelector()
	}
}

// lookUpHosts returns the entry hosts for look-up answers. If this host cannot confirm
// its view of the API keys, its own answers mark it as draining, because it rejects
// requests with a key.
func (d *daemon) lookUpHosts() []steer.Host {
	members := d.members.Load()
	if members == nil {
		return nil
	}
	unconfirmed := d.fleetNode.CheckConfirmed(keysFeed.Prefix) != nil
	hosts := make([]steer.Host, 0, len(*members))
	for _, r := range *members {
		hosts = append(hosts, steer.Host{
			Name:     r.Name,
			Region:   r.Region,
			Zone:     r.Zone,
			Address:  r.Address,
			Draining: r.Draining || (unconfirmed && r.Name == d.settings.Host),
			Headroom: 1,
		})
	}
	return hosts
}

// addressOf returns the address of an entry host from the platform's list of machines, or
// from the fleet's members if the host is not on that list. The result is false if the
// host is in neither.
func (d *daemon) addressOf(host string) (netip.AddrPort, bool) {
	if list := d.machines.Load(); list != nil {
		for _, m := range list.entryHosts {
			if m.Name == host {
				return m.Address, true
			}
		}
	}
	for _, r := range d.fleetNode.Members() {
		if r.Name == host {
			return r.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// otherHosts returns the names of the live hosts without this one.
func (d *daemon) otherHosts() []string {
	members := d.members.Load()
	if members == nil {
		return nil
	}
	var names []string
	for _, r := range *members {
		if r.Name != d.settings.Host {
			names = append(names, r.Name)
		}
	}
	return names
}

// watchFeed calls apply with the changes of a feed until the context ends. If apply
// fails, it is called again with the same changes.
func (d *daemon) watchFeed(ctx context.Context, feed fleet.Feed, apply func(objectstore.Changes) error) {
	var after objectstore.Version
	for ctx.Err() == nil {
		if d.fleetNode.FeedVersion(feed.Prefix) > after {
			changes := d.fleetNode.FeedChanges(feed.Prefix, after)
			if err := apply(changes); err == nil {
				after = changes.Next
			} else {
				sleep(ctx, retryDelay)
			}
		}
		sleep(ctx, feedPollInterval)
	}
}
