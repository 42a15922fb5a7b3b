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
	// feedPeriod is the time between two looks at what the fleet has spread.
	feedPeriod = 200 * time.Millisecond
	// reportPeriod is the time between two reports to the writers of the plan.
	reportPeriod = time.Second
)

// The feeds that the fleet follows in the store.
var (
	tableFeed = fleet.Feed{
		Prefix: table.HeadKey,
	}
	keysFeed = fleet.Feed{
		Prefix:  team.Prefix,
		HeadKey: team.HeadKey,
	}
	planFeed = fleet.Feed{
		Prefix: planKey,
	}
)

func (d *daemon) wireFleet() {
	d.node = &fleet.Node{
		Self: fleet.Host{
			Name:    d.settings.Host,
			Region:  d.settings.Region,
			Zone:    d.settings.Zone,
			Address: d.settings.Listen,
		},
		Incarnation: d.incarnation,
		Feeds: []fleet.Feed{
			tableFeed,
			keysFeed,
			planFeed,
		},
		Settings: fleet.Settings{
			MaxConfirmationAge: d.settings.KeysBound,
		},
		OnViolation: func(v fleet.Violation) {
			d.violated("fleet", v.Invariant+": "+v.Feed)
		},
	}
}

// wireCarriers sets up what carries the fleet's messages and the table's parts
// between hosts.
func (d *daemon) wireCarriers() {
	d.exchange = &peer.Transport{
		Node:       d.node,
		HTTPClient: d.fleetClient(),
		OnError: func(err error) {
			d.log.Write(observe.PeerUnreachable, zap.Error(err))
		},
	}
	d.objects = &peer.ObjectCache{
		Store:      d.store,
		Node:       d.node,
		HTTPClient: d.fleetClient(),
		IsImmutable: func(key string) bool {
			return strings.HasPrefix(key, table.ManifestKeyPrefix) || strings.HasPrefix(key, table.PartKeyPrefix)
		},
	}
}

// fleetClient returns a client for calls to other entry hosts.
func (d *daemon) fleetClient() *http.Client {
	return &http.Client{
		Transport: &secret.Transport{
			Secret: d.settings.FleetSecret,
		},
		Timeout: peerTimeout,
	}
}

// startFleet starts what keeps the view of the fleet.
func (d *daemon) startFleet(ctx context.Context, start func(func())) {
	for _, f := range d.node.Feeds {
		reader := &fleet.FeedReader{
			Node:  d.node,
			Store: d.store,
			Feed:  f,
		}
		start(func() { reader.Run(ctx) })
	}
	start(func() { d.exchange.Run(ctx) })
	start(func() { d.followFleet(ctx) })
	start(func() { d.followTable(ctx) })
	start(func() { d.followPlan(ctx) })
	start(func() { d.reportToPlanners(ctx) })
}

// followFleet lets the other parts follow the view of the fleet.
func (d *daemon) followFleet(ctx context.Context) {
	for ctx.Err() == nil {
		d.followMembers()
		d.takeKeys()
		pause(ctx, d.node.TickInterval())
	}
}

// followMembers tells the limits and the look-ups who lives.
func (d *daemon) followMembers() {
	live := d.node.LiveHosts()
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
	d.limits.SetLiveProcesses(processes)
	changed := d.followConfirmation()
	if before := d.members.Load(); before == nil || !slices.Equal(*before, live) {
		d.members.Store(&live)
		d.pool.SetHosts(d.settings.Host, d.working())
		changed = true
	}
	if changed {
		d.refreshLookup()
	}
}

// lookupHosts returns the entry hosts that callers may be sent to. A host that
// cannot confirm its view of the keys counts as leaving in its own answers: it
// refuses keyed requests.
func (d *daemon) lookupHosts() []steer.Host {
	members := d.members.Load()
	if members == nil {
		return nil
	}
	unconfirmed := d.node.CheckConfirmed(keysFeed.Prefix) != nil
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

// addressOf returns the address of an entry host.
func (d *daemon) addressOf(host string) (netip.AddrPort, bool) {
	if list := d.machines.Load(); list != nil {
		for _, m := range list.entries {
			if m.Name == host {
				return m.Address, true
			}
		}
	}
	for _, r := range d.node.Members() {
		if r.Name == host {
			return r.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// others returns the names of the other hosts that live.
func (d *daemon) others() []string {
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

// followFeed hands each change of a feed to a function until the context ends.
// A change that could not be taken in is handed over again.
func (d *daemon) followFeed(ctx context.Context, feed fleet.Feed, take func(objectstore.Changes) error) {
	var after objectstore.Version
	for ctx.Err() == nil {
		if d.node.FeedVersion(feed.Prefix) > after {
			changes := d.node.FeedChanges(feed.Prefix, after)
			if err := take(changes); err == nil {
				after = changes.Next
			} else {
				pause(ctx, retryPause)
			}
		}
		pause(ctx, feedPeriod)
	}
}
