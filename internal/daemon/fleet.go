package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/internal/fleetauth"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

const (
	// feedPollInterval is the time between two checks of a feed for changes that other
	// hosts have sent.
	feedPollInterval = 200 * time.Millisecond
	// reportInterval is the time between two reports to the hosts that may write the
	// plan.
	reportInterval = time.Second
)

// A feed is the stream of changes of the store's objects under a key prefix. A few hosts
// read it from the store and pass the changes on to the others. A feed with a head key
// also tells how long ago this host knew that its copy of the objects was current.
var (
	tableFeed = fleet.Feed{
		Prefix: table.HeadKey,
	}
	keysFeed = fleet.Feed{
		Prefix:  apikey.KeyRecordPrefix,
		HeadKey: apikey.HeadObjectKey,
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
		Transport: &fleetauth.Transport{
			Secret: d.settings.FleetSecret,
		},
		Timeout: peerTimeout,
	}
}

// startFleetLoops starts the goroutines that follow the members of the fleet and the
// feeds, and the one that sends measurements to the hosts that may write the plan.
func (d *daemon) startFleetLoops(ctx context.Context, start func(func())) {
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
		d.updateLiveHosts()
		d.applyKeyChanges()
		sleep(ctx, d.fleetNode.TickInterval())
	}
}

// updateLiveHosts passes the live hosts to the host selector, and those that are not
// draining to the limiter and the pool. It also rebuilds the host selector when the copy
// of the API keys becomes confirmed or unconfirmed.
func (d *daemon) updateLiveHosts() {
	live := d.fleetNode.LiveHosts()
	processes := make([]globallimit.ProcessID, 0, len(live))
	for _, member := range live {
		if member.Draining {
			continue
		}
		processes = append(processes, globallimit.ProcessID{
			Host:        member.Name,
			Incarnation: member.Incarnation,
		})
	}
	d.limiter.SetLiveProcesses(processes)
	changed := d.keysConfirmationChanged()
	if previous := d.liveHosts.Load(); previous == nil || !slices.Equal(*previous, live) {
		d.liveHosts.Store(&live)
		d.pool.SetHosts(d.settings.Host, d.activeHosts())
		changed = true
	}
	if changed {
		d.updateHostSelector()
	}
}

// lookUpHosts returns the entry hosts for the look-up answers of this host. This host is
// listed as draining while its copy of the API keys is not confirmed, because it rejects
// requests with a key then.
func (d *daemon) lookUpHosts() []steer.Host {
	liveHosts := d.liveHosts.Load()
	if liveHosts == nil {
		return nil
	}
	unconfirmed := d.fleetNode.CheckConfirmed(keysFeed.Prefix) != nil
	hosts := make([]steer.Host, 0, len(*liveHosts))
	for _, member := range *liveHosts {
		hosts = append(hosts, steer.Host{
			Name:     member.Name,
			Region:   member.Region,
			Zone:     member.Zone,
			Address:  member.Address,
			Draining: member.Draining || (unconfirmed && member.Name == d.settings.Host),
			// The headroom of the hosts is not known.
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
	for _, member := range d.fleetNode.Members() {
		if member.Name == host {
			return member.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// otherHosts returns the names of the live hosts without this one.
func (d *daemon) otherHosts() []string {
	liveHosts := d.liveHosts.Load()
	if liveHosts == nil {
		return nil
	}
	var names []string
	for _, member := range *liveHosts {
		if member.Name != d.settings.Host {
			names = append(names, member.Name)
		}
	}
	return names
}

// watchFeed calls apply with the changes of a feed until the context ends. If apply
// fails, it is called again with the same changes.
func (d *daemon) watchFeed(ctx context.Context, feed fleet.Feed, apply func(objectstore.VersionedObjects) error) {
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
